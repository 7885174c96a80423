//! What goes wrong on a link.

use std::time::Duration;

use tokio::sync::watch;

/// How a link treats what is sent over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Everything passes at once.
    #[default]
    Open,
    /// Everything passes, so much later.
    Delayed(Duration),
    /// Nothing passes in either direction, and nobody is told. What is sent
    /// meanwhile arrives once the link is open again, also where its sender closed
    /// the connection; not where it reset it.
    Silent,
    /// Only what the server sends passes.
    CutToServer,
    /// Only what the client sends passes.
    CutToClient,
}

/// The direction of a pump.
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

/// What goes wrong on a link.
#[derive(Debug)]
pub struct LinkFaults {
    mode: watch::Sender<LinkMode>,
    /// Grows with each reset.
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
    /// Sets how the link treats what is sent from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Resets all connections that are open.
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
