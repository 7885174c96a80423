//! Implementations of the subcommands.

mod generate;
mod report;
mod run;

pub(crate) use generate::GenerateCommand;
pub(crate) use report::ReportCommand;
pub(crate) use run::RunCommand;
