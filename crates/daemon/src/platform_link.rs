//! The tasks that fetch data from the platform: the settings, through
//! [`SettingsLink`], and the VM list, by polling.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{Timestamp, member_score};
use comfreyramp_store::{ListedVm, PlatformStore, RangeAnswer, VmList, VmState};
use tokio_util::sync::CancellationToken;
use xtra::Address;

use crate::{
    server_pool::ENTRY_GROUP,
    settings_link::{LinkSettings, PeerSource, SettingsLink},
    settings_manager::{SettingsManager, SettingsRead},
    shared::SharedState,
};

/// How often the VM list is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

impl SharedState {
    /// Creates a link to the operators' settings that uses `peers` as further
    /// sources beside the platform.
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

    /// Returns how long ago the settings in force were last known to be current.
    pub fn settings_age(&self, now: Timestamp) -> Duration {
        self.settings_age.age(now)
    }
}

/// Follows the operators' settings until `stop` is cancelled, and sends each view
/// in force to the [`SettingsManager`].
pub async fn follow_settings<S: PlatformStore, P: PeerSource>(
    link: SettingsLink<S, P>,
    manager: Address<SettingsManager>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut in_force = link.in_force();
    // After a restart of this task the same view is sent once more; the receiver
    // ignores subtrees that it already has.
    in_force.mark_changed();
    let publish = async {
        while in_force.changed().await.is_ok() {
            let view = in_force.borrow_and_update().clone();
            if view.revision > 0 {
                manager
                    .send(SettingsRead(RangeAnswer::from(&*view)))
                    .await?;
            }
        }
        Ok(())
    };
    tokio::select! {
        () = link.run(stop) => Ok(()),
        ended = publish => ended,
    }
}

/// Polls the VM list until `stop` is cancelled, and passes it to the server pool
/// and the rates.
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
                state.rates.set_live_daemons(live_daemons(&vms));
            }
            // The last list stays in use, because an outage of the list says
            // nothing about the VMs. Only the first failure in a row is logged.
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

/// Returns the names of the entry daemons whose VMs are live.
fn live_daemons(vms: &[ListedVm]) -> Vec<String> {
    let daemons = vms.iter().filter(|vm| vm.group == ENTRY_GROUP);
    let live = daemons.filter(|vm| vm.state == VmState::Live);
    live.map(|vm| vm.name.clone()).collect()
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
