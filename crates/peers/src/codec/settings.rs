//! Encodes and decodes the settings that daemons forward to each other.

use std::time::Duration;

use comfreyramp_policy::ViewOffer;

use crate::{SettingsAnswer, SettingsPair, generated::peers_capnp::settings_view};

use super::{micros, text};

pub(crate) fn write_settings(mut builder: settings_view::Builder<'_>, answer: &SettingsAnswer) {
    builder.set_known(true);
    builder.set_base(answer.offer.base);
    builder.set_revision(answer.offer.revision);
    builder.set_age_micros(micros(answer.offer.age));
    builder.set_direct(answer.offer.direct);
    let mut list = builder.reborrow().init_written(answer.written.len() as u32);
    for (index, pair) in answer.written.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_key(&pair.key);
        builder.set_value(&pair.value);
        builder.set_modified(pair.modified);
        builder.set_created(pair.created);
        builder.set_version(pair.version);
    }
    let mut list = builder.init_deleted(answer.deleted.len() as u32);
    for (index, key) in answer.deleted.iter().enumerate() {
        list.set(index as u32, key);
    }
}

pub(crate) fn read_settings(
    reader: settings_view::Reader<'_>,
) -> Result<Option<SettingsAnswer>, capnp::Error> {
    if !reader.get_known() {
        return Ok(None);
    }
    let offer = ViewOffer {
        base: reader.get_base(),
        revision: reader.get_revision(),
        age: Duration::from_micros(reader.get_age_micros()),
        direct: reader.get_direct(),
    };
    let mut written = Vec::new();
    for pair in reader.get_written()? {
        written.push(SettingsPair {
            key: text(pair.get_key()?)?,
            value: pair.get_value()?.to_vec(),
            modified: pair.get_modified(),
            created: pair.get_created(),
            version: pair.get_version(),
        });
    }
    let mut deleted = Vec::new();
    for key in reader.get_deleted()? {
        deleted.push(text(key?)?);
    }
    Ok(Some(SettingsAnswer {
        offer,
        written,
        deleted,
    }))
}
