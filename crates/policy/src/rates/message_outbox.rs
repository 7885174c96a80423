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

    pub(super) fn want(&mut self, to: DaemonId, want: SliceWant) {
        for ask in self.asks_to(to) {
            if let RateAsk::Slices(wants) = ask {
                return wants.push(want);
            }
        }
        let ask = RateAsk::Slices(vec![want]);
        self.messages.push(Outgoing { to, ask });
    }

    pub(super) fn give_back(&mut self, to: DaemonId, back: SliceReturn) {
        for ask in self.asks_to(to) {
            if let RateAsk::Return(returns) = ask {
                return returns.push(back);
            }
        }
        let ask = RateAsk::Return(vec![back]);
        self.messages.push(Outgoing { to, ask });
    }

    pub(super) fn settle(&mut self, to: DaemonId, settlement: TokenSettlement) {
        for ask in self.asks_to(to) {
            if let RateAsk::Settle(settlements) = ask {
                return settlements.push(settlement);
            }
        }
        let ask = RateAsk::Settle(vec![settlement]);
        self.messages.push(Outgoing { to, ask });
    }

    fn asks_to(&mut self, to: DaemonId) -> impl Iterator<Item = &mut RateAsk> {
        let messages = self.messages.iter_mut();
        let messages = messages.filter(move |message| message.to == to);
        messages.map(|message| &mut message.ask)
    }
}
