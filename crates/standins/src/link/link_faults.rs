//! The faults that can be injected on a link.

use std::time::Duration;

use tokio::sync::watch;

/// How a link treats the data sent over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// All data is forwarded at once.
    #[default]
    Open,
    /// All data is forwarded after this delay.
    Delayed(Duration),
    /// No data is forwarded in either direction, and neither side gets an error. Data sent
    /// meanwhile arrives once the link is open again, also if its sender closed the
    /// connection, but not if its sender reset it.
    Silent,
    /// Only data from the server to the client is forwarded.
    CutToServer,
    /// Only data from the client to the server is forwarded.
    CutToClient,
}

/// The direction in which data is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToServer,
    ToClient,
}

impl LinkMode {
    pub(super) fn blocks(self, direction: Direction) -> bool {
        match self {
            LinkMode::Open | LinkMode::Delayed(_) => false,
            LinkMode::Silent => true,
            LinkMode::CutToServer => direction == Direction::ToServer,
            LinkMode::CutToClient => direction == Direction::ToClient,
        }
    }

    pub(super) fn delay(self) -> Duration {
        match self {
            LinkMode::Delayed(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// The fault switches of a link.
#[derive(Debug)]
pub struct LinkFaults {
    mode: watch::Sender<LinkMode>,
    /// The number of resets so far.
    resets: watch::Sender<u64>,
}

impl Default for LinkFaults {
    fn default() -> Self {
        LinkFaults {
            mode: watch::Sender::new(LinkMode::Open),
            resets: watch::Sender::new(0),
        }
    }
}

impl LinkFaults {
    /// Sets how the link treats the data that is sent from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|it| *it += 1);
    }

    pub(super) fn modes(&self) -> watch::Receiver<LinkMode> {
        self.mode.subscribe()
    }

    pub(super) fn resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }
}
