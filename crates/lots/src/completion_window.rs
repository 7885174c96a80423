//! The time a lot may take from creation to its due time.

use std::{fmt, str::FromStr, time::Duration};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::LotError;

/// The shortest window that a caller may request.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// The longest window that a caller may request: 60 days.
const MAX_WINDOW: Duration = Duration::from_secs(60 * 86_400);

/// The time from a lot's creation to its due time. Keeps the text that the
/// caller wrote, which API responses repeat.
///
/// ```
/// use std::time::Duration;
/// use comfreyramp_lots::CompletionWindow;
///
/// let window: CompletionWindow = "1h30m".parse().unwrap();
/// assert_eq!(window.duration, Duration::from_secs(5400));
/// assert_eq!(window.to_string(), "1h30m");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct CompletionWindow {
    /// The length of the window.
    pub duration: Duration,
    text: String,
}

impl FromStr for CompletionWindow {
    type Err = LotError;

    fn from_str(text: &str) -> Result<Self, LotError> {
        let duration = parse_duration(text).ok_or_else(|| {
            invalid(format!(
                "`{text}` is not a valid duration; examples: 24h, 90m, 7d, 1h30m"
            ))
        })?;
        if !(MIN_WINDOW..=MAX_WINDOW).contains(&duration) {
            return Err(invalid(format!(
                "`{text}` is out of range; it must be between 1s and 60d"
            )));
        }
        let text = text.to_owned();
        Ok(CompletionWindow { duration, text })
    }
}

impl fmt::Display for CompletionWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

fn invalid(message: String) -> LotError {
    LotError::Invalid {
        param: "completion_window",
        message,
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let mut seconds: u64 = 0;
    let mut rest = text;
    while !rest.is_empty() {
        let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
        let amount: u64 = rest[..digits].parse().ok()?;
        let unit = match rest[digits..].chars().next()? {
            's' => 1,
            'm' => 60,
            'h' => 3600,
            'd' => 86_400,
            _ => return None,
        };
        seconds = seconds.checked_add(amount.checked_mul(unit)?)?;
        rest = &rest[digits + 1..];
    }
    Some(Duration::from_secs(seconds))
}
