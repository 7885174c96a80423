//! Sends state reports to the other daemons over UDP and receives theirs.

use std::{io::ErrorKind, mem::MaybeUninit, net::SocketAddr, rc::Rc, time::Duration};

use comfreyramp_policy::usage::ReportSchedule;
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use super::{
    ArrivalClock, MAX_QUEUE_CHECK_INTERVAL, MESSAGE_PADDING, PeerMessage,
    stream_notice::{decode_notice, encode_notice},
};
use crate::{dialect::Dialect, node::Node};

/// Shortest delay between a change of load and the report of it to near peers. Changes
/// within it go out together: each message costs a system call and a wake-up at either end.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(30);
/// Batching delay for each near peer. It keeps what one daemon sends below
/// 200 messages a second, however many near peers it has.
const BATCH_DELAY_PER_PEER: Duration = Duration::from_millis(5);
/// The largest datagram that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// Reports this daemon's state to the other daemons until `stop` is cancelled.
///
/// Near peers get every batch of changes; far peers get a report at intervals, or at
/// once if it is urgent.
pub async fn run_announcer<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    let mut schedule = ReportSchedule::new(node.clock.now());
    while !stop.is_cancelled() {
        let mut is_urgent = tokio::select! {
            () = node.urgent_report_due.notified() => true,
            () = node.load_changed.notified() => false,
            () = tokio::time::sleep(node.next_tick_delay()) => false,
            () = stop.cancelled() => false,
        };
        let peers = node.peer_addresses();
        if !is_urgent {
            let batch_delay = BATCH_DELAY_PER_PEER * peers.near.len() as u32;
            is_urgent = tokio::select! {
                () = node.urgent_report_due.notified() => true,
                () = tokio::time::sleep(batch_delay.max(MIN_BATCH_DELAY)) => false,
            };
        }
        node.tick();
        let now = node.clock.now();
        let is_far_due = is_urgent || schedule.is_due(now);
        if is_far_due {
            let interval = node.max_report_interval() - MIN_BATCH_DELAY;
            schedule.record_report(interval, now, &mut rand::rng());
        }
        let far = peers.far.iter().filter(|_| is_far_due);
        send_report(&node, &socket, peers.near.iter().chain(far), false);
    }
    // The last report of a daemon that stops is marked as leaving, so that peers no
    // longer count on it.
    let peers = node.peer_addresses();
    send_report(&node, &socket, peers.near.iter().chain(&peers.far), false);
}

/// Sends reports that can't wait for the regular schedule, until `stop` is cancelled:
/// to daemons whose items a live request waits for, and to daemons whose own report a
/// request depends on, which are asked to reply at once.
pub async fn send_urgent_reports<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = node.prompt_reports_due.notified() => {}
            () = stop.cancelled() => return,
        }
        let (report_to, request_from) = node.take_prompt_reports();
        send_report(&node, &socket, report_to.iter(), false);
        send_report(&node, &socket, request_from.iter(), true);
    }
}

/// Tells other daemons which software began the streams of this one, until `stop` is
/// cancelled.
pub async fn send_origins<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = node.origins_untold.notified() => {}
            () = stop.cancelled() => return,
        }
        for (peer, origins) in node.take_untold_origins() {
            match encode_notice(&origins) {
                // A datagram that can't be sent counts as lost: the stream has other keepers.
                Ok(bytes) => drop(socket.try_send_to(&bytes, peer)),
                Err(error) => {
                    log::error!(error:% = error; "peers: failed to encode the origins of streams");
                }
            }
        }
    }
}

fn send_report<'a, D: Dialect>(
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
            log::error!(error:% = error; "peers: failed to encode a message");
            return;
        }
    };
    for peer in peers {
        // A datagram that can't be sent counts as lost: the next one has the same
        // totals, brought up to date.
        let _ = socket.try_send_to(&bytes, *peer);
    }
}

/// Receives the reports of other daemons until `stop` is cancelled.
pub async fn receive_reports<D: Dialect>(
    node: Rc<Node<D>>,
    socket: Rc<UdpSocket>,
    stop: CancellationToken,
) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES + MESSAGE_PADDING];
    let mut arrivals = ArrivalClock::new(node.clock.now());
    loop {
        let wakeup = tokio::select! {
            wakeup = tokio::time::timeout(MAX_QUEUE_CHECK_INTERVAL, socket.readable()) => wakeup,
            () = stop.cancelled() => return,
        };
        let now = node.clock.now();
        let length = match socket.try_recv_from(&mut buffer[..MAX_MESSAGE_BYTES]) {
            Ok((length, _)) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if is_queue_empty(&socket, wakeup.is_ok()) {
                    arrivals.note_empty_queue(now);
                }
                continue;
            }
            // The error reports that an earlier datagram couldn't be delivered; nothing
            // was received.
            Err(_) => continue,
        };
        match decode_notice(&buffer[..length]) {
            Some(Ok(origins)) => {
                node.receive_origins(&origins);
                continue;
            }
            Some(Err(error)) => {
                log::warn!(error:% = error; "peers: failed to decode the origins of streams");
                continue;
            }
            None => {}
        }
        let padded = length + MESSAGE_PADDING;
        buffer[length..padded].fill(0);
        match postcard::from_bytes::<PeerMessage>(&buffer[..padded]) {
            Ok(message) => node.process_report(&message, arrivals.arrival(now)),
            Err(error) => log::warn!(error:% = error; "peers: failed to decode a message"),
        }
    }
}

/// Returns whether the socket's receive queue is empty, after a read that brought nothing.
///
/// If the runtime had reported the socket as readable, the read reached the operating
/// system and its result holds. Otherwise the runtime may not have seen yet what arrived
/// while this process was suspended, so the socket is peeked directly.
fn is_queue_empty(socket: &UdpSocket, was_readable: bool) -> bool {
    if was_readable {
        return true;
    }
    let mut first_byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(socket).peek(&mut first_byte);
    peeked.is_err_and(|it| it.kind() == ErrorKind::WouldBlock)
}
