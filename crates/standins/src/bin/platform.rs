//! The platform stand-in as a program.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use comfreyramp_http::bind;
use comfreyramp_standins::{
    platform::{SharedPlatform, serve_platform},
    process::{stop_on_signal, write_addresses},
};

/// A key-value service and VM list with injectable faults, for tests.
#[derive(FromArgs)]
struct PlatformArgs {
    /// address to listen on (default 127.0.0.1:0, a free port)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// file to write the address to once the program listens
    #[argh(option)]
    addresses_file: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: PlatformArgs = argh::from_env();
    let stop = stop_on_signal()?;
    let listener = bind(args.listen).await?;
    if let Some(path) = &args.addresses_file {
        write_addresses(path, &[("http", listener.local_addr()?)])?;
    }
    serve_platform(listener, SharedPlatform::default(), stop).await;
    Ok(())
}
