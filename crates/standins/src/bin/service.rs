//! The service stand-in as a program.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use comfreyramp_http::bind;
use comfreyramp_standins::{
    process::{stop_on_signal, write_addresses},
    service::{ServiceOptions, ServiceServer},
};

/// A plain service that answers with a description of each request, for tests.
#[derive(FromArgs)]
struct ServiceArgs {
    /// address to listen on (default 127.0.0.1:0, a free port)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// file to write the address to once the program listens
    #[argh(option)]
    addresses_file: Option<PathBuf>,
    /// text of a body that makes the process exit; empty for none
    #[argh(option, default = "ServiceOptions::default().crash_on")]
    crash_on: String,
    /// number of calls at which the load report shows full load
    #[argh(option, default = "ServiceOptions::default().capacity")]
    capacity: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: ServiceArgs = argh::from_env();
    let stop = stop_on_signal()?;
    let listener = bind(args.listen).await?;
    if let Some(path) = &args.addresses_file {
        write_addresses(path, &[("http", listener.local_addr()?)])?;
    }
    let options = ServiceOptions {
        crash_on: args.crash_on,
        capacity: args.capacity,
    };
    ServiceServer::new(options).run(listener, stop).await;
    Ok(())
}
