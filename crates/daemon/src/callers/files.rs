//! `/v1/files`: inputs and results of lots in the shape of the OpenAI files
//! API.

use std::sync::Arc;

use comfreyramp_http::{
    ErrorAnswer, HeaderValue, Incoming, MessageBody, Method, Request, Response, header,
};
use comfreyramp_lots::{FileList, FileObject};
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use serde_json::json;

use super::{
    Answer, Caller,
    batches::unknown_path,
    lot_answers::{PageQuery, bad_request, job_key, lot_error},
    upload::{UploadLimits, UploadRequest, too_long},
};
use crate::{operators::json as json_answer, shared::SharedState};

/// Handles a request to `/v1/files` or a path below it.
pub(super) async fn answer(
    state: &Arc<SharedState>,
    caller: Caller,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    let rest = path.trim_start_matches("/v1/files").trim_matches('/');
    match (request.method(), rest.split_once('/')) {
        (&Method::POST, None) if rest.is_empty() => upload(state, &caller, request).await,
        (&Method::GET, None) if rest.is_empty() => list(state, &caller, &request).await,
        (&Method::GET, None) => {
            let file = state.lots.files().get(&caller.customer.name, rest).await;
            Ok(json_answer(&FileObject::from(&file.map_err(lot_error)?)))
        }
        (&Method::GET, Some((id, "content"))) => content(state, &caller, id).await,
        (&Method::DELETE, None) if !rest.is_empty() => delete(state, &caller, rest).await,
        _ => Err(unknown_path(&path)),
    }
}

/// Stores an uploaded file. The declared length is checked first, so that a
/// file that is too long is rejected before its body is sent.
async fn upload(state: &SharedState, caller: &Caller, request: Request<Incoming>) -> Answer {
    state.admit(caller).await?;
    let (head, body) = request.into_parts();
    let limits = UploadLimits::default();
    if body.size_hint().lower() > limits.body {
        return Err(too_long(limits.body));
    }
    let kind = head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let boundary = multer::parse_boundary(kind).map_err(|_| not_multipart(kind))?;
    let upload = UploadRequest {
        files: &state.lots.files(),
        customer: &caller.customer.name,
        job_key: job_key(&head.headers)?,
        limits,
    };
    let file = upload.read(boundary, body.into_data_stream()).await?;
    log::info!("lots: {} of {} is stored", file.id, file.customer);
    Ok(json_answer(&FileObject::from(&file)))
}

fn not_multipart(kind: &str) -> ErrorAnswer {
    let text = format!("`{kind}` is not multipart/form-data with a boundary. Send a form.");
    bad_request("invalid_content_type", text).param("content-type")
}

async fn list(state: &SharedState, caller: &Caller, request: &Request<Incoming>) -> Answer {
    let page = PageQuery::parse(request.uri().query())?;
    let files = state.lots.files();
    let customer = &caller.customer.name;
    let found = files
        .list(customer, page.after.as_deref(), page.limit)
        .await;
    let (found, more) = found.map_err(lot_error)?;
    Ok(json_answer(&FileList::new(&found, more)))
}

async fn delete(state: &SharedState, caller: &Caller, id: &str) -> Answer {
    let files = state.lots.files();
    let deleted = files.delete(&caller.customer.name, id).await;
    deleted.map_err(lot_error)?;
    Ok(json_answer(
        &json!({ "id": id, "object": "file", "deleted": true }),
    ))
}

/// Streams a file piece by piece. The length is sent in the head, so that a
/// caller that receives less knows that the file is incomplete.
async fn content(state: &SharedState, caller: &Caller, id: &str) -> Answer {
    let files = state.lots.files();
    let stream = files.content(&caller.customer.name, id).await;
    let mut stream = stream.map_err(lot_error)?;
    let length = stream.bytes;
    let (sender, body) = MessageBody::stream();
    let id = id.to_owned();
    tokio::spawn(async move {
        loop {
            match stream.next().await {
                Ok(Some(piece)) => {
                    if !sender.send(piece).await {
                        return;
                    }
                }
                Ok(None) => return,
                Err(error) => {
                    log::warn!("lots: the content of {id} was cut short: {error}");
                    return sender.abort(error.to_string()).await;
                }
            }
        }
    });
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("application/jsonl");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    Ok(response)
}
