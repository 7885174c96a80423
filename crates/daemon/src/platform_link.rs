//! The tasks that follow the platform: the settings through their link, the VM
//! list by reading it.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{Timestamp, member_score};
use comfreyramp_store::{ListedVm, PlatformStore, RangeAnswer, VmList, VmState};
use tokio_util::sync::CancellationToken;
use xtra::Address;

use crate::{
    server_pool::ENTRY_GROUP,
    settings_keeper::{SettingsKeeper, WholeRead},
    settings_link::{LinkSettings, PeerSource, SettingsLink},
    shared::SharedState,
};

/// How often the VM list is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

impl SharedState {
    /// A link to the operators' settings by way of these peers.
    pub fn settings_link<P: PeerSource>(
        &self,
        peers: P,
    ) -> SettingsLink<impl PlatformStore + use<P>, P> {
        let score = member_score(&self.settings.zone, &self.settings.name);
        let settings = LinkSettings::default()
            .own_score(score)
            .seed(rand::random());
        let age = self.settings_age.clone();
        SettingsLink::new(self.store.clone(), peers, self.clock, age, settings)
    }

    /// How old the view of the settings may be.
    pub fn settings_age(&self, now: Timestamp) -> Duration {
        self.settings_age.age(now)
    }
}

/// Follows the operators' settings until `stop` is cancelled, and gives what
/// is in force to the keeper.
pub async fn follow_settings<S: PlatformStore, P: PeerSource>(
    link: SettingsLink<S, P>,
    keeper: Address<SettingsKeeper>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut in_force = link.in_force();
    // After a restart of this task the keeper is told again what it has; it
    // leaves what it has already.
    in_force.mark_changed();
    let publish = async {
        while in_force.changed().await.is_ok() {
            let view = in_force.borrow_and_update().clone();
            if view.revision > 0 {
                keeper.send(WholeRead(RangeAnswer::from(&*view))).await?;
            }
        }
        Ok(())
    };
    tokio::select! {
        () = link.run(stop) => Ok(()),
        ended = publish => ended,
    }
}

/// Follows the VM list until `stop` is cancelled.
pub async fn follow_vms(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut ticks = tokio::time::interval(VM_LIST_INTERVAL);
    let mut failing = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => return Ok(()),
        }
        let now = state.clock.now();
        match state.vm_list.vms().await {
            Ok(vms) => {
                failing = false;
                state.servers.update(&vms, &state.settings.zone, now);
                state.rates.take_list(live_daemons(&vms));
            }
            // What was listed last stays in use: an outage of the list says
            // nothing about the VMs.
            Err(error) if !failing => {
                failing = true;
                log::warn!("platform: the VM list can't be read: {error}");
            }
            Err(_) => {}
        }
        state
            .metrics
            .set("settings_age_ms", millis(state.settings_age(now)));
    }
}

/// The names of the daemons that are in service.
fn live_daemons(vms: &[ListedVm]) -> Vec<String> {
    let daemons = vms.iter().filter(|vm| vm.group == ENTRY_GROUP);
    let live = daemons.filter(|vm| vm.state == VmState::Live);
    live.map(|vm| vm.name.clone()).collect()
}

fn millis(span: Duration) -> i64 {
    i64::try_from(span.as_millis()).unwrap_or(i64::MAX)
}
