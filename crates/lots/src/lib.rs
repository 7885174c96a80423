//! Lots, the batch jobs of this service: validated and stored once, run item by
//! item, with each result recorded exactly once.
//!
//! - [`FileStore`] stores uploads line by line and streams file contents.
//! - [`LotStore`] creates, describes, lists and cancels lots.
//! - [`LotWorker`] claims segments of open lots and runs their items with the
//!   daemon's [`ItemRunner`], in slots of its [`SlotSource`].
//! - [`LotSweeper`] deletes what has exceeded its retention time.
//!
//! All durable state is in the platform's key-value store, under keys that only
//! [`LotKeys`] builds. See `docs/LOTS.md`.

mod batch_object;
mod clock;
mod codec;
mod completion_window;
mod content_stream;
mod error;
mod file_record;
mod file_store;
mod file_upload;
mod held_segment;
mod item_line;
mod keys;
mod lease_keeper;
mod lot_finisher;
mod lot_record;
mod lot_store;
mod lot_view;
mod lot_watch;
mod open_lot;
mod retry;
mod runner;
mod segment_store;
mod sweeper;
mod worker;

pub use batch_object::{BatchList, BatchObject, BatchStatus, FileList, FileObject, RequestCounts};
pub use clock::{SystemClock, WallClock, WallTime};
pub use completion_window::CompletionWindow;
pub use content_stream::ContentStream;
pub use error::{LineFinding, LotError};
pub use file_record::FileRecord;
pub use file_store::{FileStore, RetentionPolicy};
pub use file_upload::FileUpload;
pub use keys::LotKeys;
pub use lease_keeper::{HeldLease, LeaseManager};
pub use lot_record::{
    LotCounts, LotOutcome, LotRecord, RecordedResult, ResultAnswer, ResultError, SegmentProgress,
};
pub use lot_store::{LotPage, LotStore, NewLot};
pub use open_lot::{DueOutlook, OpenLot};
pub use retry::StoreRetryPolicy;
pub use runner::{ItemOutcome, ItemRequest, ItemRunner, SlotSource};
pub use sweeper::LotSweeper;
pub use worker::LotWorker;
