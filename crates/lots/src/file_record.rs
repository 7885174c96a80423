//! The stored metadata of a file.

use serde::{Deserialize, Serialize};

use crate::WallTime;

/// The metadata of a file. For an upload it is stored after the content, so
/// that a visible file is always complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRecord {
    /// The file's id. Uploading the same content again for the same customer
    /// and idempotency key gives the same id.
    pub id: String,
    /// The customer that owns the file.
    pub customer: String,
    /// The file name that the caller gave.
    pub filename: String,
    /// The length of the content in bytes.
    pub bytes: u64,
    /// When the file was uploaded.
    pub created_at: WallTime,
    /// When the file is deleted, unless an open lot still reads its content.
    pub expires_at: WallTime,
    /// The id under which the content's segments are stored; a new one for each
    /// upload.
    pub content: String,
    /// The number of items in each segment. Empty for the output file of a lot,
    /// whose content is the lot's results.
    pub segments: Vec<u16>,
    /// The API endpoint that all items are sent to.
    pub endpoint: String,
    /// The model that all items use.
    pub model: String,
}

impl FileRecord {
    /// Returns the number of items in the file.
    pub fn items(&self) -> u32 {
        self.segments.iter().map(|&it| u32::from(it)).sum()
    }
}
