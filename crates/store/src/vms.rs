//! The platform's VM list.

use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::StoreError;

/// The state of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed: it gets no new work.
    Leaving,
}

/// A VM in the platform's list.
///
/// The list lags behind: a VM may be listed after it is gone, or run before it is
/// listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name that the platform gave the VM.
    pub name: String,
    /// The VM's availability zone.
    pub zone: String,
    /// The group that the VM was started in. Services name the group of their servers;
    /// the group `entry` is that of the daemons.
    pub group: String,
    /// The address at which the VM listens, as `ip:port`. For a daemon this is the
    /// address for its peers.
    pub address: String,
    /// Whether the VM is in service.
    pub state: VmState,
}

/// The platform's list of VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    fn vms(&self) -> impl Future<Output = Result<Vec<ListedVm>, StoreError>> + Send;
}
