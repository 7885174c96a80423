//! Reads bodies whose bytes are reserved before they are stored.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::BodyError;

/// The bytes that are reserved at first for a body that doesn't state its length.
const FIRST_RESERVATION: usize = 16 << 10;

/// Reserves memory for bytes before they are stored.
pub trait ByteReservation {
    /// Why bytes aren't reserved.
    type Refusal;

    /// Reserves `bytes` more.
    fn reserve(&mut self, bytes: usize) -> impl Future<Output = Result<(), Self::Refusal>>;
}

/// The reason why a body with reserved bytes wasn't read to its end.
#[derive(Debug)]
pub enum ReservedBodyError<R> {
    /// The body ended early or is too long.
    Body(BodyError),
    /// The bytes weren't reserved.
    Refused(R),
}

/// Reads a body to its end and appends it to `whole`, whose bytes have been reserved
/// already. A body that states its length is reserved at once, any other as it grows: no
/// further frame is read until the bytes of the last one are reserved.
///
/// # Errors
///
/// Fails if the body breaks off, if `whole` would get more than `limit` bytes, or if the
/// bytes aren't reserved.
pub async fn collect_reserved<B, R>(
    body: &mut B,
    mut whole: Vec<u8>,
    limit: usize,
    reservation: &mut R,
) -> Result<Bytes, ReservedBodyError<R::Refusal>>
where
    B: Body<Data = Bytes> + Unpin,
    BodyError: From<B::Error>,
    R: ByteReservation,
{
    let too_long = || ReservedBodyError::Body(BodyError::TooLong { limit });
    let mut reserved = whole.len();
    let hint = body.size_hint();
    let stated = usize::try_from(hint.lower()).map_err(|_| too_long())?;
    if stated > limit.saturating_sub(whole.len()) {
        return Err(too_long());
    }
    let first = match hint.exact() {
        Some(_) => stated,
        None => FIRST_RESERVATION.min(limit.saturating_sub(whole.len())),
    };
    if first > 0 {
        let reserving = reservation.reserve(first).await;
        reserving.map_err(ReservedBodyError::Refused)?;
        reserved += first;
        whole.reserve_exact(first);
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReservedBodyError::Body(error.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed = whole.len() + data.len();
        if needed > limit {
            return Err(too_long());
        }
        if needed > reserved {
            // Growing by a quarter keeps the number of copies small.
            let target = needed.max(reserved + reserved / 4).min(limit);
            let reserving = reservation.reserve(target - reserved).await;
            reserving.map_err(ReservedBodyError::Refused)?;
            reserved = target;
            whole.reserve_exact(target - whole.len());
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}
