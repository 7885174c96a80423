//! What users count: requests let in within a sliding window.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

/// The window over which a customer's requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// The most requests let in within any window. `admitted` is in order.
pub(crate) fn most_in_window(admitted: &[Timestamp]) -> usize {
    let counts = admitted.iter().enumerate().map(|(first, begin)| {
        let end = admitted.partition_point(|it| *it < *begin + WINDOW);
        end - first
    });
    counts.max().unwrap_or_default()
}
