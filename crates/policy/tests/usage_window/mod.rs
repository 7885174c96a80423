//! Counts requests that were admitted within a sliding window, as customers observe
//! them.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

/// The window over which a customer's requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Returns the maximum number of requests admitted within any window. `admitted` is in
/// order.
pub(crate) fn max_in_window(admitted: &[Timestamp]) -> usize {
    let counts = admitted.iter().enumerate().map(|(first, begin)| {
        let end = admitted.partition_point(|it| *it < *begin + WINDOW);
        end - first
    });
    counts.max().unwrap_or_default()
}
