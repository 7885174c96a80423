//! Logging setup. Log lines are short sentences with a fixed prefix per
//! component, as plain text or as JSON.

use anyhow::bail;
use comfreyramp_settings::{LogFormat, LogSettings};
use logforth::{
    append::Stdout,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};

/// Installs the logger that the settings describe. Fails if the level is unknown.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let level = match settings.level.as_deref() {
        None | Some("info") => Level::Info,
        Some("error") => Level::Error,
        Some("warn") => Level::Warn,
        Some("debug") => Level::Debug,
        Some(other) => bail!("log.level: {other:?} is none of error, warn, info, debug"),
    };
    let appender = match settings.format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|it| {
            it.filter(LevelFilter::MoreSevereEqual(level))
                .append(appender)
        })
        .apply();
    Ok(())
}
