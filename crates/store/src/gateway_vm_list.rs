//! The client of the platform's VM list.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use comfreyramp_http::{
    HeaderValue, HttpClient, MessageBody, Request, StatusCode, collect_limited, header,
};

use crate::{
    CallEnd, CallMetrics, GatewaySettings, ListedVm, NoMetrics, StoreCall, StoreError, VmList,
    gateway_store::{MAX_ERROR_BYTES, read_json, response_error, with_timeout},
};

/// The maximum size of a list in bytes.
const MAX_LIST_BYTES: usize = 8_000_000;

/// A list and the `ETag` that it was sent with.
#[derive(Clone, Debug)]
struct TaggedList {
    tag: HeaderValue,
    vms: Vec<ListedVm>,
}

/// A client of the platform's VM list over HTTP: `GET /vms` returns a JSON array.
///
/// The list of a whole fleet is over 100 KB and rarely changes. If the platform sends
/// it with an `ETag`, the next read sends `If-None-Match`, and an unchanged list costs
/// a few bytes. Reading the whole list each second would take six times the bandwidth
/// that a daemon may spend on control traffic; see docs/CAPACITY.md.
#[derive(Clone, Debug)]
pub struct GatewayVmList<C: CallMetrics = NoMetrics> {
    client: HttpClient,
    settings: GatewaySettings,
    counts: C,
    last: Arc<Mutex<Option<TaggedList>>>,
}

impl<C: CallMetrics> GatewayVmList<C> {
    /// Creates a client that reports its calls to `counts`.
    pub fn new(settings: GatewaySettings, counts: C) -> Self {
        let client = settings.client();
        GatewayVmList {
            client,
            settings,
            counts,
            last: Arc::default(),
        }
    }

    async fn read(&self) -> Result<Vec<ListedVm>, StoreError> {
        let last = self.last();
        let mut request = Request::builder().uri(self.settings.url("/vms"));
        if let Some(last) = &last {
            request = request.header(header::IF_NONE_MATCH, &last.tag);
        }
        let request = request
            .body(MessageBody::empty())
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let response = self.client.send(request).await?;
        let status = response.status();
        let tag = response.headers().get(header::ETAG).cloned();
        let body = collect_limited(response.into_body(), MAX_LIST_BYTES).await;
        if let Some(last) = last.filter(|_| status == StatusCode::NOT_MODIFIED) {
            return Ok(last.vms);
        }
        if status != StatusCode::OK {
            let mut body = body.unwrap_or_default();
            body.truncate(MAX_ERROR_BYTES);
            return Err(response_error(status, &body));
        }
        let body = body.map_err(|error| StoreError::AnswerLost(error.to_string()))?;
        let vms: Vec<ListedVm> = read_json(&body)?;
        self.remember(tag.map(|tag| TaggedList {
            tag,
            vms: vms.clone(),
        }));
        Ok(vms)
    }

    fn last(&self) -> Option<TaggedList> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }

    fn remember(&self, list: Option<TaggedList>) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = list;
    }
}

impl<C: CallMetrics> VmList for GatewayVmList<C> {
    async fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        let begin = Instant::now();
        let result = with_timeout(self.settings.call_timeout, self.read()).await;
        let end = CallEnd::of(&result);
        self.counts.count(StoreCall::VmList, end, begin.elapsed());
        result
    }
}
