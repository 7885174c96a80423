//! Implementations of the commands, one module per kind of object.

mod customers;
mod explain;
mod keys;
mod lots;
mod services;
mod settings;
mod status;

use comfreyramp_http::{MessageBody, Method};

use crate::{
    arguments::{Arguments, Command, SettingsAction},
    client::OperatorClient,
    failure::ToolFailure,
    output::print_line,
};

/// The client and the output format that all commands use.
pub(crate) struct CommandContext {
    /// The client of the named daemons.
    pub(crate) client: OperatorClient,
    /// Whether to print JSON instead of tables.
    pub(crate) json: bool,
}

/// Runs the command that the arguments select.
pub(crate) async fn run(arguments: Arguments) -> Result<(), ToolFailure> {
    if let Command::Settings(it) = &arguments.command
        && let SettingsAction::Check(check) = &it.action
    {
        return settings::check_file(check, arguments.json);
    }
    let client = OperatorClient::from_arguments(&arguments)?;
    let context = CommandContext {
        client,
        json: arguments.json,
    };
    match arguments.command {
        Command::Customers(it) => customers::run(&context, it.action).await,
        Command::Drain(it) => drain(&context, &it.daemon).await,
        Command::Explain(it) => explain::run(&context, &it).await,
        Command::Keys(it) => keys::run(&context, it.action).await,
        Command::Lots(it) => lots::run(&context, it.action).await,
        Command::Services(it) => services::run(&context, it.action).await,
        Command::Settings(it) => settings::run(&context, it.action).await,
        Command::Status(_) => status::run(&context).await,
    }
}

async fn drain(context: &CommandContext, daemon: &str) -> Result<(), ToolFailure> {
    let daemon = daemon.trim_end_matches('/');
    context
        .client
        .call(daemon, Method::POST, "/drain", MessageBody::empty())
        .await?;
    eprintln!("{daemon} finishes its requests and stops");
    Ok(())
}

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &serde_json::Value) {
    print_line(format_args!("{value:#}"));
}
