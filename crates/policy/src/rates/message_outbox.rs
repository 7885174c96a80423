//! Requests that are queued for sending.

use crate::DaemonId;

use super::{Outgoing, RateRequest, SliceRequest, SliceReturn, TokenSettlement};

/// Requests that are queued for sending, at most one of each kind per receiver.
#[derive(Clone, Debug, Default)]
pub(super) struct MessageOutbox {
    messages: Vec<Outgoing>,
}

impl MessageOutbox {
    pub(super) fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.messages)
    }

    pub(super) fn request_slice(&mut self, to: DaemonId, want: SliceRequest) {
        for request in self.requests_to(to) {
            if let RateRequest::Slices(wants) = request {
                return wants.push(want);
            }
        }
        let request = RateRequest::Slices(vec![want]);
        self.messages.push(Outgoing { to, request });
    }

    pub(super) fn return_slice(&mut self, to: DaemonId, returned: SliceReturn) {
        for request in self.requests_to(to) {
            if let RateRequest::Return(returns) = request {
                return returns.push(returned);
            }
        }
        let request = RateRequest::Return(vec![returned]);
        self.messages.push(Outgoing { to, request });
    }

    pub(super) fn settle_grant(&mut self, to: DaemonId, settlement: TokenSettlement) {
        for request in self.requests_to(to) {
            if let RateRequest::Settle(settlements) = request {
                return settlements.push(settlement);
            }
        }
        let request = RateRequest::Settle(vec![settlement]);
        self.messages.push(Outgoing { to, request });
    }

    fn requests_to(&mut self, to: DaemonId) -> impl Iterator<Item = &mut RateRequest> {
        let messages = self.messages.iter_mut();
        let messages = messages.filter(move |message| message.to == to);
        messages.map(|message| &mut message.request)
    }
}
