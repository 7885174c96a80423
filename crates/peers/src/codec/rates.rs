//! Encodes and decodes requests for tokens and slices, and their answers.

use std::time::Duration;

use capnp::struct_list;
use comfreyramp_policy::rates::{
    CustomerKey, RateAnswer, Slice, SliceOffer, SliceRequest, SliceReturn, TokenAnswer,
    TokenRequest, TokenSettlement, Tokens,
};

use crate::generated::peers_capnp::{
    session, settlement, slice_offer, slice_return, slice_want, token_answer, token_ask,
};

use super::micros;

pub(crate) fn write_token_ask(mut builder: token_ask::Builder<'_>, request: &TokenRequest) {
    builder.set_customer(request.customer.0);
    builder.set_slot(request.slot);
    builder.set_want(request.want);
    builder.set_home(request.home);
    builder.set_has_spent(request.spent.is_some());
    builder.set_spent(request.spent.unwrap_or_default());
}

pub(crate) fn read_token_ask(reader: token_ask::Reader<'_>) -> TokenRequest {
    TokenRequest {
        customer: CustomerKey(reader.get_customer()),
        slot: reader.get_slot(),
        want: reader.get_want(),
        home: reader.get_home(),
        spent: reader.get_has_spent().then_some(reader.get_spent()),
    }
}

/// Writes the answer to a request for tokens. Returns an error if the handler
/// returned an answer of another kind.
pub(crate) fn write_token_answer(
    mut builder: token_answer::Builder<'_>,
    answer: &RateAnswer,
) -> Result<(), capnp::Error> {
    let RateAnswer::Tokens(answer) = answer else {
        return Err(wrong_kind());
    };
    match *answer {
        TokenAnswer::Granted {
            grant,
            count,
            settle,
        } => {
            let mut granted = builder.init_granted();
            granted.set_grant(grant);
            granted.set_count(count);
            granted.set_settle(settle);
        }
        TokenAnswer::Empty {
            retry_after,
            complete,
        } => {
            let mut empty = builder.init_empty();
            empty.set_retry_micros(micros(retry_after));
            empty.set_complete(complete);
        }
        TokenAnswer::NotHolder => builder.set_not_holder(()),
        TokenAnswer::Stale => builder.set_stale(()),
    }
    Ok(())
}

pub(crate) fn read_token_answer(
    reader: token_answer::Reader<'_>,
) -> Result<TokenAnswer, capnp::Error> {
    Ok(match reader.which()? {
        token_answer::Granted(granted) => TokenAnswer::Granted {
            grant: granted.get_grant(),
            count: granted.get_count(),
            settle: granted.get_settle(),
        },
        token_answer::Empty(empty) => TokenAnswer::Empty {
            retry_after: Duration::from_micros(empty.get_retry_micros()),
            complete: empty.get_complete(),
        },
        token_answer::NotHolder(()) => TokenAnswer::NotHolder,
        token_answer::Stale(()) => TokenAnswer::Stale,
    })
}

pub(crate) fn write_wants(
    mut list: struct_list::Builder<'_, slice_want::Owned>,
    wants: &[SliceRequest],
) {
    for (index, want) in wants.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_customer(want.customer.0);
        builder.set_slot(want.slot);
        builder.set_loan(want.loan);
        builder.set_sent(want.sent);
    }
}

pub(crate) fn read_wants(list: struct_list::Reader<'_, slice_want::Owned>) -> Vec<SliceRequest> {
    let wants = list.iter().map(|reader| SliceRequest {
        customer: CustomerKey(reader.get_customer()),
        slot: reader.get_slot(),
        loan: reader.get_loan(),
        sent: reader.get_sent(),
    });
    wants.collect()
}

/// Writes the answer to a request for slices. Returns an error if the handler
/// returned an answer of another kind.
pub(crate) fn write_offers(
    results: session::slices_results::Builder<'_>,
    answer: &RateAnswer,
) -> Result<(), capnp::Error> {
    let RateAnswer::Slices(offers) = answer else {
        return Err(wrong_kind());
    };
    let mut list = results.init_offers(offers.len() as u32);
    for (index, offer) in offers.iter().enumerate() {
        let mut builder: slice_offer::Builder<'_> = list.reborrow().get(index as u32);
        builder.set_customer(offer.customer.0);
        builder.set_slot(offer.slot);
        builder.set_loan(offer.loan);
        builder.set_sent(offer.sent);
        builder.set_rate(offer.slice.rate.as_trillionths());
        builder.set_capacity(offer.slice.capacity.as_trillionths());
        builder.set_tokens(offer.tokens.as_trillionths());
    }
    Ok(())
}

pub(crate) fn read_offers(list: struct_list::Reader<'_, slice_offer::Owned>) -> Vec<SliceOffer> {
    let offers = list.iter().map(|reader| SliceOffer {
        customer: CustomerKey(reader.get_customer()),
        slot: reader.get_slot(),
        loan: reader.get_loan(),
        sent: reader.get_sent(),
        slice: Slice {
            rate: Tokens::from_trillionths(reader.get_rate()),
            capacity: Tokens::from_trillionths(reader.get_capacity()),
        },
        tokens: Tokens::from_trillionths(reader.get_tokens()),
    });
    offers.collect()
}

pub(crate) fn write_returns(
    mut list: struct_list::Builder<'_, slice_return::Owned>,
    returns: &[SliceReturn],
) {
    for (index, back) in returns.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_customer(back.customer.0);
        builder.set_slot(back.slot);
        builder.set_loan(back.loan);
        builder.set_tokens(back.tokens.as_trillionths());
    }
}

pub(crate) fn read_returns(list: struct_list::Reader<'_, slice_return::Owned>) -> Vec<SliceReturn> {
    let returns = list.iter().map(|reader| SliceReturn {
        customer: CustomerKey(reader.get_customer()),
        slot: reader.get_slot(),
        loan: reader.get_loan(),
        tokens: Tokens::from_trillionths(reader.get_tokens()),
    });
    returns.collect()
}

pub(crate) fn write_settlements(
    mut list: struct_list::Builder<'_, settlement::Owned>,
    settlements: &[TokenSettlement],
) {
    for (index, settlement) in settlements.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_customer(settlement.customer.0);
        builder.set_slot(settlement.slot);
        builder.set_grant(settlement.grant);
        builder.set_unspent(settlement.unspent);
    }
}

pub(crate) fn read_settlements(
    list: struct_list::Reader<'_, settlement::Owned>,
) -> Vec<TokenSettlement> {
    let settlements = list.iter().map(|reader| TokenSettlement {
        customer: CustomerKey(reader.get_customer()),
        slot: reader.get_slot(),
        grant: reader.get_grant(),
        unspent: reader.get_unspent(),
    });
    settlements.collect()
}

fn wrong_kind() -> capnp::Error {
    capnp::Error::failed("the handler returned an answer of the wrong kind".to_owned())
}
