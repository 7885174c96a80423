//! A relay of TCP connections on loopback.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use comfreyramp_http::bind;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};
use tokio_util::sync::CancellationToken;

use super::{LinkFaults, LinkMode, link_faults::Direction};

/// The most that is read at once.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// The most that a link holds of what was sent into a cut.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// The end of a connection is sent anew only once what came before it was
/// acknowledged: whoever reads there has begun with it by then.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// A relay of TCP connections on loopback, which stands between two processes.
#[derive(Clone, Debug)]
pub struct FaultLink {
    /// What goes wrong on it.
    pub faults: Arc<LinkFaults>,
    /// Where clients connect.
    pub address: SocketAddr,
}

impl FaultLink {
    /// Opens a link to a server, until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn open(server: SocketAddr, stop: CancellationToken) -> anyhow::Result<FaultLink> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(LinkFaults::default());
        let shared = faults.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stop.cancelled() => return,
                };
                let Ok((client, _)) = accepted else {
                    continue;
                };
                tokio::spawn(relay(client, server, shared.clone(), stop.clone()));
            }
        });
        Ok(FaultLink { faults, address })
    }
}

async fn relay(
    client: TcpStream,
    server: SocketAddr,
    faults: Arc<LinkFaults>,
    stop: CancellationToken,
) {
    let mut resets = faults.resets();
    // A server that is gone resets its clients' connections.
    let Ok(server) = TcpStream::connect(server).await else {
        return reset(&client);
    };
    let sockets = [duplicate_handle(&client), duplicate_handle(&server)];
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let to_server_copy = copy_one_way(from_client, to_server, faults.modes(), Direction::ToServer);
    let to_client_copy = copy_one_way(from_server, to_client, faults.modes(), Direction::ToClient);
    let both = async {
        tokio::join!(to_server_copy, to_client_copy);
    };
    tokio::select! {
        () = both => {}
        _ = resets.changed() => {
            for socket in sockets.iter().flatten() {
                // A socket that is closed already needs no reset.
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
        () = stop.cancelled() => {}
    }
}

/// A second handle on a socket, to set it up for a reset while it is in use.
fn duplicate_handle(stream: &TcpStream) -> Option<socket2::Socket> {
    SockRef::from(stream).try_clone().ok()
}

fn reset(stream: &TcpStream) {
    // A socket that is closed already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<LinkMode>,
    direction: Direction,
) {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let mut buffered = Vec::new();
    let mut has_ended = false;
    loop {
        tokio::select! {
            biased;
            // The end of a connection doesn't pass a cut either.
            opened = wait_until_open(&mut modes, direction),
                if has_ended || !buffered.is_empty() =>
            {
                let Some(delay) = opened else {
                    return;
                };
                tokio::time::sleep(delay).await;
                if to.write_all(&buffered).await.is_err() {
                    break;
                }
                if has_ended {
                    let close_delay = if buffered.is_empty() {
                        Duration::ZERO
                    } else {
                        CLOSE_DELAY
                    };
                    tokio::time::sleep(close_delay).await;
                    break;
                }
                buffered.clear();
            }
            read = from.read(&mut chunk),
                if !has_ended && buffered.len() < MAX_BUFFERED_BYTES => match read {
                Ok(0) => has_ended = true,
                Ok(length) => buffered.extend_from_slice(&chunk[..length]),
                // A sender that resets its connection sends nothing of it again.
                Err(_) => break,
            },
        }
    }
    // Whoever reads there learns of the end; it may have gone already.
    let _ = to.shutdown().await;
}

/// Waits until a link lets pass what goes in a direction, and returns by how much it
/// is delayed; nothing where the link is gone.
async fn wait_until_open(
    modes: &mut watch::Receiver<LinkMode>,
    direction: Direction,
) -> Option<Duration> {
    let mode = modes.wait_for(|it| !it.blocks(direction)).await.ok()?;
    Some(mode.delay())
}
