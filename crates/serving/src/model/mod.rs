//! Requests, answers and settings, independent of any wire format.

mod caller_request;
mod fleet_settings;
mod lot_types;
mod refusal;
mod server_answer;

pub use caller_request::{CallerAction, CallerHead, InvalidRequest, ResumedStream};
pub use fleet_settings::{
    CallerLimits, CustomerSettings, FleetSettings, LotTerms, RetireOrder, RouteKind, RouteSettings,
    ServiceSettings, ServiceWeight,
};
pub use lot_types::{ItemResult, ItemState, LotItem, LotPage, NewLot};
pub use refusal::{Refusal, RefusalCause};
pub use server_answer::{ExecutionStatus, RequestMetadata, ServerAnswer};
