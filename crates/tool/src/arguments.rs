//! Command-line options and subcommands.

use std::path::PathBuf;

use argh::FromArgs;

/// Operate a comfreyramp fleet.
///
/// Exit codes: 0 success, 1 rejected, 3 invalid settings, 4 conflict,
/// 5 unreachable, 6 accepted but not confirmed by every daemon.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// base URLs of the daemons' operator listeners, separated by spaces
    /// (default: the environment variable COMFREYRAMP_OPERATORS)
    #[argh(option)]
    pub(crate) operators: Option<String>,
    /// file that contains the operator token (default: the token itself in the
    /// environment variable COMFREYRAMP_OPERATORS_TOKEN)
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,
    /// operator name to record in the settings history (default: the
    /// environment variable USER)
    #[argh(option)]
    pub(crate) by: Option<String>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Customers(Customers),
    Drain(Drain),
    Explain(Explain),
    Keys(Keys),
    Lots(Lots),
    Services(Services),
    Settings(Settings),
    Status(Status),
}

/// Manage customers: list, add, set, remove.
#[derive(FromArgs)]
#[argh(subcommand, name = "customers")]
pub(crate) struct Customers {
    #[argh(subcommand)]
    pub(crate) action: CustomersAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum CustomersAction {
    Add(AddCustomer),
    List(ListCustomers),
    Remove(RemoveCustomer),
    Set(SetCustomer),
}

/// Add a customer to a team's settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct AddCustomer {
    /// the customer's name
    #[argh(positional)]
    pub(crate) name: String,
    /// the team whose settings contain it
    #[argh(option)]
    pub(crate) team: String,
    /// requests per second, over the whole fleet
    #[argh(option)]
    pub(crate) rate: f64,
    /// requests that may arrive at once after an idle period, over the whole fleet
    #[argh(option)]
    pub(crate) burst: u32,
    /// its relative share when capacity is scarce (default 1)
    #[argh(option, default = "1.0")]
    pub(crate) weight: f64,
}

/// List the customers of all teams, or of one.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListCustomers {
    /// restrict the list to this team
    #[argh(option)]
    pub(crate) team: Option<String>,
}

/// Change a customer.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub(crate) struct SetCustomer {
    /// the customer's name
    #[argh(positional)]
    pub(crate) name: String,
    /// the team whose settings contain it
    #[argh(option)]
    pub(crate) team: String,
    /// requests per second, over the whole fleet
    #[argh(option)]
    pub(crate) rate: Option<f64>,
    /// requests that may arrive at once after an idle period, over the whole fleet
    #[argh(option)]
    pub(crate) burst: Option<u32>,
    /// its relative share when capacity is scarce
    #[argh(option)]
    pub(crate) weight: Option<f64>,
}

/// Remove a customer with all its keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct RemoveCustomer {
    /// the customer's name
    #[argh(positional)]
    pub(crate) name: String,
    /// the team whose settings contain it
    #[argh(option)]
    pub(crate) team: String,
}

/// Manage API keys: list, issue, withdraw.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct Keys {
    #[argh(subcommand)]
    pub(crate) action: KeysAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeysAction {
    Issue(IssueKey),
    List(ListKeys),
    Withdraw(WithdrawKey),
}

/// Issue a key. The key is printed once; only its hash is stored.
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
pub(crate) struct IssueKey {
    /// the customer's name
    #[argh(positional)]
    pub(crate) customer: String,
    /// the team whose settings contain the customer
    #[argh(option)]
    pub(crate) team: String,
    /// a name to identify the key later (default: key-1, key-2, …)
    #[argh(option)]
    pub(crate) name: Option<String>,
}

/// List keys by name and hash; the keys themselves are not stored.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListKeys {
    /// restrict the list to this team
    #[argh(option)]
    pub(crate) team: Option<String>,
}

/// Withdraw a key. Open streams that use it are closed within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct WithdrawKey {
    /// the customer's name
    #[argh(positional)]
    pub(crate) customer: String,
    /// the key's name
    #[argh(positional)]
    pub(crate) name: String,
    /// the team whose settings contain the customer
    #[argh(option)]
    pub(crate) team: String,
}

/// Manage lots (batch jobs) of all customers: list, show, cancel.
#[derive(FromArgs)]
#[argh(subcommand, name = "lots")]
pub(crate) struct Lots {
    #[argh(subcommand)]
    pub(crate) action: LotsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum LotsAction {
    Cancel(CancelLot),
    List(ListLots),
    Show(ShowLot),
}

/// List open lots with their progress and whether they will meet their deadline.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListLots {
    /// restrict the list to this customer
    #[argh(option)]
    pub(crate) customer: Option<String>,
}

/// Show an open lot.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowLot {
    /// the lot's id
    #[argh(positional)]
    pub(crate) id: String,
}

/// Cancel an open lot. Results that are already recorded stay readable.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct CancelLot {
    /// the lot's id
    #[argh(positional)]
    pub(crate) id: String,
}

/// Manage services: list, add, remove.
#[derive(FromArgs)]
#[argh(subcommand, name = "services")]
pub(crate) struct Services {
    #[argh(subcommand)]
    pub(crate) action: ServicesAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ServicesAction {
    Add(AddService),
    List(ListServices),
    Remove(RemoveService),
}

/// Add a service: models on engines, or a plain HTTP service under a path prefix.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct AddService {
    /// the service's name
    #[argh(positional)]
    pub(crate) name: String,
    /// the team whose settings contain it
    #[argh(option)]
    pub(crate) team: String,
    /// the VM group that runs it
    #[argh(option)]
    pub(crate) group: String,
    /// a model that its engines serve (may be repeated)
    #[argh(option)]
    pub(crate) model: Vec<String>,
    /// the path prefix of a plain service
    #[argh(option)]
    pub(crate) prefix: Option<String>,
    /// total timeout of a request, in milliseconds
    #[argh(option, default = "120_000")]
    pub(crate) timeout_ms: u64,
    /// its servers reject requests with an outdated fencing number
    #[argh(switch)]
    pub(crate) checks_fencing: bool,
}

/// List the services of all teams, or of one.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListServices {
    /// restrict the list to this team
    #[argh(option)]
    pub(crate) team: Option<String>,
}

/// Remove a service.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct RemoveService {
    /// the service's name
    #[argh(positional)]
    pub(crate) name: String,
    /// the team whose settings contain it
    #[argh(option)]
    pub(crate) team: String,
}

/// Manage a team's complete settings: teams, get, set, check, diff, history.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct Settings {
    #[argh(subcommand)]
    pub(crate) action: SettingsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum SettingsAction {
    Check(CheckSettings),
    Diff(DiffSettings),
    Get(GetSettings),
    History(ShowHistory),
    Set(WriteSettings),
    Teams(ListTeams),
}

/// Validate a settings file without contacting a daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckSettings {
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// the file is a daemon's configuration, not a team's settings
    #[argh(switch)]
    pub(crate) daemon: bool,
}

/// Show the differences between the settings in force and a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffSettings {
    /// the team
    #[argh(positional)]
    pub(crate) team: String,
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Show a team's settings with their revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetSettings {
    /// the team
    #[argh(positional)]
    pub(crate) team: String,
}

/// Show the changes to a team's settings with author and time, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct ShowHistory {
    /// the team
    #[argh(positional)]
    pub(crate) team: String,
}

/// Replace a team's settings with the contents of a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub(crate) struct WriteSettings {
    /// the team
    #[argh(positional)]
    pub(crate) team: String,
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// the revision that the file is based on, 0 for a new team (default: the
    /// revision in force)
    #[argh(option)]
    pub(crate) revision: Option<i64>,
}

/// List the teams with their revisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "teams")]
pub(crate) struct ListTeams {}

/// Show the state of the fleet: daemons, servers, age of settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Explain how a request was handled: class, servers attempted, waits, rejection.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the x-request-id header of its response
    #[argh(positional)]
    pub(crate) request: String,
}

/// Shut a daemon down after it has finished its requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// base URL of the daemon's operator listener
    #[argh(positional)]
    pub(crate) daemon: String,
}
