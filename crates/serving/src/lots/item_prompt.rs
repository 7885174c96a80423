//! The prompt of a lot's item.

use comfreyramp_policy::placement::PromptPart;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::{
    dialect::{Dialect, ServerDialect},
    model::LotItem,
};

/// Returns the parts of an item's prompt with their sizes.
pub(super) fn prompt_of<D: Dialect>(item: &LotItem) -> Vec<PromptPart> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = name.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    <D::Servers as ServerDialect>::prompt_parts(&headers)
}
