//! Telling the other daemons how things are, and hearing the same of them.

use std::{io::ErrorKind, mem::MaybeUninit, net::SocketAddr, rc::Rc, time::Duration};

use comfreyramp_policy::usage::SpeakSchedule;
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use super::{ArrivalClock, MESSAGE_PADDING, PeerMessage, QUIET_LOOK};
use crate::{dialect::Dialect, node::Node};

/// After a change of load the daemons nearby hear of it this soon. In between,
/// changes gather: each message is a system call and a wake-up at either end.
const GATHER_SPAN: Duration = Duration::from_millis(30);
/// With many daemons nearby changes gather for longer, by this much for each:
/// what one daemon sends stays below 200 messages a second.
const GATHER_FOR_EACH: Duration = Duration::from_millis(5);
/// The longest datagram that is read.
const LONGEST_MESSAGE: usize = 60_000;

/// Tells the other daemons how things are here until `stop` is cancelled.
pub async fn run_announcer<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    let mut schedule = SpeakSchedule::new(node.clock.now());
    while !stop.is_cancelled() {
        let mut is_urgent = tokio::select! {
            () = node.tell_wanted.notified() => true,
            () = node.load_changed.notified() => false,
            () = tokio::time::sleep(node.quiet_interval()) => false,
            () = stop.cancelled() => false,
        };
        let peers = node.peer_addresses();
        if !is_urgent {
            let gathered = GATHER_FOR_EACH * peers.near.len() as u32;
            is_urgent = tokio::select! {
                () = node.tell_wanted.notified() => true,
                () = tokio::time::sleep(gathered.max(GATHER_SPAN)) => false,
            };
        }
        node.tick();
        let now = node.clock.now();
        let is_far_due = is_urgent || schedule.is_due(now);
        if is_far_due {
            let interval = node.quiet_interval() - GATHER_SPAN;
            schedule.speak(interval, now, &mut rand::rng());
        }
        let far = peers.far.iter().filter(|_| is_far_due);
        announce(&node, &socket, peers.near.iter().chain(far), false);
    }
    // The last word: others take no account of it any more.
    let peers = node.peer_addresses();
    announce(&node, &socket, peers.near.iter().chain(&peers.far), false);
}

/// Tells daemons at once whose items a live request waits for, and asks others for a
/// word on which a request depends, until `stop` is cancelled.
pub async fn run_prompt_words<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = node.prompt_wanted.notified() => {}
            () = stop.cancelled() => return,
        }
        let (told, asked) = node.take_prompt_words();
        announce(&node, &socket, told.iter(), false);
        announce(&node, &socket, asked.iter(), true);
    }
}

fn announce<'a, D: Dialect>(
    node: &Node<D>,
    socket: &UdpSocket,
    peers: impl Iterator<Item = &'a SocketAddr>,
    asks_word: bool,
) {
    let mut peers = peers.peekable();
    if peers.peek().is_none() {
        return;
    }
    let message = PeerMessage {
        asks_word,
        ..node.peer_message()
    };
    let bytes = match postcard::to_stdvec(&message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "peers: a message can't be written");
            return;
        }
    };
    for peer in peers {
        // A datagram that can't be sent is one that is lost: the next one says
        // the same and more.
        let _ = socket.try_send_to(&bytes, *peer);
    }
}

/// Takes in what other daemons say until `stop` is cancelled.
pub async fn listen_to_peers<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    let mut buffer = vec![0; LONGEST_MESSAGE + MESSAGE_PADDING];
    let mut arrivals = ArrivalClock::new(node.clock.now());
    loop {
        let woken = tokio::select! {
            woken = tokio::time::timeout(QUIET_LOOK, socket.readable()) => woken,
            () = stop.cancelled() => return,
        };
        let now = node.clock.now();
        let length = match socket.try_recv_from(&mut buffer[..LONGEST_MESSAGE]) {
            Ok((length, _)) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if is_quiet(&socket, woken.is_ok()) {
                    arrivals.note_quiet(now);
                }
                continue;
            }
            // An earlier datagram couldn't be delivered; nothing was received.
            Err(_) => continue,
        };
        let padded = length + MESSAGE_PADDING;
        buffer[length..padded].fill(0);
        match postcard::from_bytes::<PeerMessage>(&buffer[..padded]) {
            Ok(message) => node.hear_peer(&message, arrivals.arrival(now)),
            Err(error) => log::warn!(error:% = error; "peers: a message can't be read"),
        }
    }
}

/// Whether no datagram waits to be read, after an attempt that brought none. Where the
/// runtime said that there is something to read, the system itself was asked. Else the
/// runtime may not have heard yet of what came in while this process stood still.
fn is_quiet(socket: &UdpSocket, was_readable: bool) -> bool {
    if was_readable {
        return true;
    }
    let mut first = [MaybeUninit::uninit()];
    let looked = SockRef::from(socket).peek(&mut first);
    looked.is_err_and(|it| it.kind() == ErrorKind::WouldBlock)
}
