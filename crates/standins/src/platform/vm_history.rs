//! The history of the VM list, for reads with a lag.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_store::ListedVm;

/// The list after one change, sorted by name, and when the change happened.
#[derive(Clone, Debug)]
struct ListedState {
    since: Timestamp,
    vms: Vec<ListedVm>,
}

/// All states of the VM list, so that it can be read with a lag.
#[derive(Clone, Debug, Default)]
pub struct VmHistory {
    states: Vec<ListedState>,
}

impl VmHistory {
    /// Replaces the whole list.
    pub fn set(&mut self, mut vms: Vec<ListedVm>, now: Timestamp) {
        vms.sort_by(|one, other| one.name.cmp(&other.name));
        self.states.push(ListedState { since: now, vms });
    }

    /// Adds a VM, or replaces the VM with the same name.
    pub fn put(&mut self, vm: ListedVm, now: Timestamp) {
        let mut vms = self.newest_vms();
        match vms.binary_search_by(|it| it.name.cmp(&vm.name)) {
            Ok(index) => vms[index] = vm,
            Err(index) => vms.insert(index, vm),
        }
        self.states.push(ListedState { since: now, vms });
    }

    /// Removes a VM. Returns whether it was listed.
    pub fn remove(&mut self, name: &str, now: Timestamp) -> bool {
        let mut vms = self.newest_vms();
        let Ok(index) = vms.binary_search_by(|it| it.name.as_str().cmp(name)) else {
            return false;
        };
        vms.remove(index);
        self.states.push(ListedState { since: now, vms });
        true
    }

    /// Returns the list as it was `lag` before `now`. The first state also counts for all
    /// time before it, so that reads with a lag don't start with an empty fleet.
    pub fn read(&self, lag: Duration, now: Timestamp) -> Vec<ListedVm> {
        let read_at = now - lag;
        let index = self.states.partition_point(|it| it.since <= read_at);
        let state = self.states.get(index.saturating_sub(1));
        state.map_or_else(Vec::new, |it| it.vms.clone())
    }

    fn newest_vms(&self) -> Vec<ListedVm> {
        self.states
            .last()
            .map_or_else(Vec::new, |it| it.vms.clone())
    }
}
