//! The platform's VM list.

use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::StoreError;

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// On its way out: no new work.
    Leaving,
}

/// A VM as the platform lists it.
///
/// The list lags: a VM can be gone and still be listed, or run and not yet be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The platform's name for the VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The group it was started in; services name the group that serves them,
    /// and the daemons are the group `entry`.
    pub group: String,
    /// Where it listens, as `ip:port`. For a daemon this is its peers' door.
    pub address: String,
    /// Whether it is in service.
    pub state: VmState,
}

/// The platform's list of VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    fn vms(&self) -> impl Future<Output = Result<Vec<ListedVm>, StoreError>> + Send;
}
