//! Reads the bodies of callers' requests and counts their bytes.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyramp_http::{BodyError, ReservedBodyError, collect_reserved};
use comfreyramp_policy::memory::HolderKind;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{HeldBytes, HeldMemory, HolderLabel};
use crate::model::{Refusal, RefusalCause};

/// How often the bytes of a submission of a lot are counted: its body, its items, whose
/// bodies are decoded from it, and the records that are written to the store exist at the
/// same time.
const LOT_COPIES: usize = 3;
/// How long the rest of a refused body is read and dropped. If the connection were closed
/// under a caller that still writes, the caller would be reset before it reads the refusal.
const DROP_TIMEOUT: Duration = Duration::from_secs(2);

/// A request's body, whose bytes are counted until this is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Returns the bytes to the account when it is dropped.
    pub held: HeldBytes,
}

impl HeldBody {
    /// Drops the body and returns its bytes.
    pub fn release(&mut self) {
        self.held.give_back(self.bytes.len());
        self.bytes = Bytes::new();
    }
}

/// Reads the body of a live request within `time_left`.
///
/// # Errors
///
/// Returns the refusal of a body that is too long, breaks off, takes too long or finds no
/// room. Its request hasn't run.
pub async fn read_request_body(
    memory: &Rc<HeldMemory>,
    label: &Rc<HolderLabel>,
    mut body: Incoming,
    limit: usize,
    time_left: Duration,
) -> Result<HeldBody, Refusal> {
    let mut held = memory.open(label, HolderKind::Body);
    let reading = async {
        let mut reservation = held.for_body();
        collect_reserved(&mut body, Vec::new(), limit, &mut reservation).await
    };
    let result = match memory.is_bounded() {
        // A caller that announces a body and doesn't send it holds its bytes.
        true => tokio::time::timeout(time_left, reading).await,
        false => Ok(reading.await),
    };
    match result {
        Ok(Ok(bytes)) => Ok(HeldBody { bytes, held }),
        Ok(Err(ReservedBodyError::Refused(refusal))) => {
            drop(held);
            // A caller that is slower than that is reset.
            let _ = tokio::time::timeout(DROP_TIMEOUT, drop_body(&mut body)).await;
            Err(refusal)
        }
        Ok(Err(ReservedBodyError::Body(BodyError::TooLong { .. }))) => {
            Err(RefusalCause::BodyTooLong.into())
        }
        Ok(Err(ReservedBodyError::Body(_))) => Err(RefusalCause::BadRequest.into()),
        Err(_) => Err(RefusalCause::TimedOut.into()),
    }
}

/// Reads the body of a submission of a lot within `time_left`.
///
/// # Errors
///
/// As [`read_request_body`].
pub async fn read_lot_body(
    memory: &Rc<HeldMemory>,
    label: &Rc<HolderLabel>,
    body: Incoming,
    limit: usize,
    time_left: Duration,
) -> Result<HeldBody, Refusal> {
    let mut whole = read_request_body(memory, label, body, limit, time_left).await?;
    let copies = whole.bytes.len() * (LOT_COPIES - 1);
    comfreyramp_http::ByteReservation::reserve(&mut whole.held.for_body(), copies).await?;
    Ok(whole)
}

/// Reads a body to its end and drops it.
async fn drop_body(body: &mut Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
