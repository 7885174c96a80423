//! Formatting of wall-clock times.

/// Days from 0000-03-01 to 1970-01-01.
const DAYS_TO_EPOCH: u64 = 719_468;
/// Days in 400 years, the period of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;

/// Formats milliseconds since the Unix epoch as `2026-05-04 13:07:09 UTC`.
pub(crate) fn format_time(millis: u64) -> String {
    let seconds = millis / 1000;
    let (year, month, day) = date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Converts days since the Unix epoch to year, month and day. Years start in
/// March in the calculation, so that a leap day is the last day of its year.
fn date(day: u64) -> (u64, u64, u64) {
    let days = day + DAYS_TO_EPOCH;
    let (era, day) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let from_march = (5 * day + 2) / 153;
    let day = day - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 {
        from_march + 3
    } else {
        from_march - 9
    };
    let year = era * 400 + year + u64::from(month <= 2);
    (year, month, day)
}
