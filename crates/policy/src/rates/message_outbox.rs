//! Requests that are queued for sending.

use crate::DaemonId;

use super::{Outgoing, RateAsk, SliceReturn, SliceWant, TokenSettlement};

/// Requests that are queued for sending, at most one of each kind per receiver.
#[derive(Clone, Debug, Default)]
pub(super) struct MessageOutbox {
    messages: Vec<Outgoing>,
}

impl MessageOutbox {
    pub(super) fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.messages)
    }

    pub(super) fn request_slice(&mut self, to: DaemonId, want: SliceWant) {
        for ask in self.requests_to(to) {
            if let RateAsk::Slices(wants) = ask {
                return wants.push(want);
            }
        }
        let ask = RateAsk::Slices(vec![want]);
        self.messages.push(Outgoing { to, ask });
    }

    pub(super) fn return_slice(&mut self, to: DaemonId, returned: SliceReturn) {
        for ask in self.requests_to(to) {
            if let RateAsk::Return(returns) = ask {
                return returns.push(returned);
            }
        }
        let ask = RateAsk::Return(vec![returned]);
        self.messages.push(Outgoing { to, ask });
    }

    pub(super) fn settle_grant(&mut self, to: DaemonId, settlement: TokenSettlement) {
        for ask in self.requests_to(to) {
            if let RateAsk::Settle(settlements) = ask {
                return settlements.push(settlement);
            }
        }
        let ask = RateAsk::Settle(vec![settlement]);
        self.messages.push(Outgoing { to, ask });
    }

    fn requests_to(&mut self, to: DaemonId) -> impl Iterator<Item = &mut RateAsk> {
        let messages = self.messages.iter_mut();
        let messages = messages.filter(move |message| message.to == to);
        messages.map(|message| &mut message.ask)
    }
}
