//! Finds duplicate fields in JSON objects.
//!
//! A JSON parser silently keeps the last of two equal fields. An operator who pastes a
//! second `customers` list would lose the first one, and only notice when its callers
//! are rejected.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::{FindingList, object_reader::printable_field_name};

/// Adds a finding for each field of `text` that occurs twice in its object. Invalid
/// JSON is ignored, as the parser that reads the settings reports it.
pub(crate) fn find_duplicate_fields(text: &[u8], findings: &mut FindingList) {
    let mut parser = serde_json::Deserializer::from_slice(text);
    let place = String::new();
    // A syntax error has already been reported by the parser that reads the settings.
    let _ = DuplicateFieldVisitor { place, findings }.deserialize(&mut parser);
}

/// Visits one value and everything below it.
struct DuplicateFieldVisitor<'f> {
    place: String,
    findings: &'f mut FindingList,
}

impl<'de> DeserializeSeed<'de> for DuplicateFieldVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, parser: D) -> Result<(), D::Error> {
        parser.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for DuplicateFieldVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        let mut known: Vec<String> = Vec::new();
        while let Some(field) = fields.next_key::<String>()? {
            let name = printable_field_name(&field);
            let place = if self.place.is_empty() {
                name.to_owned()
            } else {
                format!("{}.{name}", self.place)
            };
            match known.binary_search(&field) {
                Ok(_) => {
                    let fix = "keep one of them; otherwise the first would be ignored";
                    self.findings.add(place, "occurs twice in its object", fix);
                    fields.next_value::<IgnoredAny>()?;
                }
                Err(index) => {
                    known.insert(index, field);
                    let findings = &mut *self.findings;
                    fields.next_value_seed(DuplicateFieldVisitor { place, findings })?;
                }
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        for index in 0.. {
            let place = format!("{}[{index}]", self.place);
            let findings = &mut *self.findings;
            let walked = entries.next_element_seed(DuplicateFieldVisitor { place, findings })?;
            if walked.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
