//! A relay of TCP connections on loopback that can inject faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use comfreyramp_http::bind;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf},
    net::TcpStream,
    sync::watch,
};
use tokio_util::sync::CancellationToken;

use super::{LinkFaults, LinkMode, link_faults::Direction};

/// The number of bytes that are read at once.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// The number of bytes that a link buffers for each connection and direction while it
/// blocks them.
const MAX_BUFFER: usize = 256 << 10;
/// How long after buffered data the end of its connection is forwarded, so that the
/// receiver has acknowledged the data and started to read it by then.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// A relay of TCP connections on loopback between two processes.
#[derive(Clone, Debug)]
pub struct FaultLink {
    /// The fault switches of the link.
    pub faults: Arc<LinkFaults>,
    /// The address to which clients connect.
    pub address: SocketAddr,
}

impl FaultLink {
    /// Opens a link to a server that works until `stop` is cancelled.
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
    // If the server can't be reached, the client's connection is reset.
    let Ok(server) = TcpStream::connect(server).await else {
        return reset(&client);
    };
    let sockets = [duplicate_handle(&client), duplicate_handle(&server)];
    // Unlike owned halves, these don't shut a connection down when they are dropped, which
    // the receiver of a reset would see before it.
    let (from_client, to_client) = tokio::io::split(client);
    let (from_server, to_server) = tokio::io::split(server);
    let to_server_copy = copy_one_way(from_client, to_server, faults.modes(), Direction::ToServer);
    let to_client_copy = copy_one_way(from_server, to_client, faults.modes(), Direction::ToClient);
    let both = async { tokio::try_join!(to_server_copy, to_client_copy).is_err() };
    let is_reset = tokio::select! {
        is_reset = both => is_reset,
        _ = resets.changed() => true,
        () = stop.cancelled() => false,
    };
    if is_reset {
        for socket in sockets.iter().flatten() {
            // A socket that is closed already needs no reset.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

/// A sender reset its connection.
struct SenderReset;

/// Returns a second handle to a socket, through which it can be set to reset while it is
/// in use.
fn duplicate_handle(stream: &TcpStream) -> Option<socket2::Socket> {
    SockRef::from(stream).try_clone().ok()
}

fn reset(stream: &TcpStream) {
    // A socket that is closed already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Copies until the sender closes its connection, and then closes the receiver's. A reset is
/// passed on as one: after an ordinary close, the receiver could take a part for the whole.
async fn copy_one_way(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut modes: watch::Receiver<LinkMode>,
    direction: Direction,
) -> Result<(), SenderReset> {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let mut buffer = Vec::new();
    let mut has_ended = false;
    loop {
        tokio::select! {
            biased;
            // The end of a connection is not forwarded while the link blocks either.
            opened = opened(&mut modes, direction), if has_ended || !buffer.is_empty() => {
                let Some(delay) = opened else {
                    return Ok(());
                };
                tokio::time::sleep(delay).await;
                if to.write_all(&buffer).await.is_err() {
                    break;
                }
                if has_ended {
                    let close_delay = if buffer.is_empty() {
                        Duration::ZERO
                    } else {
                        CLOSE_DELAY
                    };
                    tokio::time::sleep(close_delay).await;
                    break;
                }
                buffer.clear();
            }
            read = from.read(&mut chunk), if !has_ended && buffer.len() < MAX_BUFFER => match read {
                Ok(0) => has_ended = true,
                Ok(length) => buffer.extend_from_slice(&chunk[..length]),
                // The data that it had sent is dropped.
                Err(_) => return Err(SenderReset),
            },
        }
    }
    // Tells the receiver that the connection ended; it may have closed it already.
    let _ = to.shutdown().await;
    Ok(())
}

/// Waits until a link forwards data in a direction and returns its delay, or `None` if
/// the link is gone.
async fn opened(modes: &mut watch::Receiver<LinkMode>, direction: Direction) -> Option<Duration> {
    let mode = modes.wait_for(|it| !it.blocks(direction)).await.ok()?;
    Some(mode.delay())
}
