//! A view of all zones' rosters in the platform's store.

use bytes::Bytes;
use comfreyramp_policy::rates::ZoneRoster;
use comfreyramp_store::{Comparison, KeyRange, KeyValue, RangeAnswer, Revision, Write, WriteBatch};

/// The prefix of all keys about rates in the platform's store.
const RATES_PREFIX: &str = "/comfreyramp/rates/";
/// The key of the list of zones.
const ZONES_KEY: &str = "/comfreyramp/rates/zones";

/// One zone's roster and the revision at which it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterRecord {
    /// The roster: the zone's daemons and their slots.
    pub roster: ZoneRoster,
    /// The revision at which it was written; 0 if it never was.
    pub modified: Revision,
}

/// The zones of the fleet and their rosters, as of one revision.
///
/// Zones are only ever appended, so a zone's number never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterView {
    /// The last revision at which any of the keys was written; 0 before the first
    /// write.
    pub revision: Revision,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    zones_modified: Revision,
    /// The roster of each zone, by the zone's number.
    pub records: Vec<RosterRecord>,
}

impl RosterView {
    /// Returns the range of all keys that the view consists of.
    pub fn range() -> KeyRange {
        KeyRange::Prefix(RATES_PREFIX.to_owned())
    }

    /// Parses the answer to a read of [`RosterView::range`]. Fails if a value isn't
    /// valid JSON.
    pub fn read(answer: &RangeAnswer) -> anyhow::Result<RosterView> {
        let mut view = RosterView::default();
        if let Some(pair) = find(answer, ZONES_KEY) {
            view.zones = serde_json::from_slice(&pair.value)?;
            view.zones_modified = pair.modified;
        }
        for zone in &view.zones {
            let mut record = RosterRecord::default();
            if let Some(pair) = find(answer, &roster_key(zone)) {
                record.roster = serde_json::from_slice(&pair.value)?;
                record.modified = pair.modified;
            }
            view.records.push(record);
        }
        view.revision = view.newest();
        Ok(view)
    }

    /// Returns the number of the zone called `name`.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// Returns a transaction that writes nothing and succeeds only if nothing has
    /// changed. It is much smaller than a read.
    pub fn check(&self) -> WriteBatch {
        let mut when = vec![unchanged(ZONES_KEY.to_owned(), self.zones_modified)];
        for (zone, record) in self.zones.iter().zip(&self.records) {
            when.push(unchanged(roster_key(zone), record.modified));
        }
        WriteBatch {
            when,
            ..WriteBatch::default()
        }
    }

    /// Returns the write that adds a zone, if the list of zones is unchanged.
    pub fn add_zone(&self, name: &str) -> anyhow::Result<WriteBatch> {
        let mut zones = self.zones.clone();
        zones.push(name.to_owned());
        put(ZONES_KEY.to_owned(), self.zones_modified, &zones)
    }

    /// Returns the write that replaces a zone's roster, if that is unchanged.
    pub fn put_roster(&self, zone: usize, roster: &ZoneRoster) -> anyhow::Result<WriteBatch> {
        let record = &self.records[zone];
        put(roster_key(&self.zones[zone]), record.modified, roster)
    }

    /// Returns the view as it is after a roster was written at `revision`.
    pub fn with_roster(&self, zone: usize, roster: ZoneRoster, revision: Revision) -> RosterView {
        let mut view = self.clone();
        view.records[zone] = RosterRecord {
            roster,
            modified: revision,
        };
        view.revision = view.newest();
        view
    }

    fn newest(&self) -> Revision {
        let rosters = self.records.iter().map(|record| record.modified);
        rosters.fold(self.zones_modified, Revision::max)
    }
}

fn roster_key(zone: &str) -> String {
    format!("{RATES_PREFIX}rosters/{zone}")
}

fn find<'a>(answer: &'a RangeAnswer, key: &str) -> Option<&'a KeyValue> {
    answer.pairs.iter().find(|pair| pair.key == key)
}

fn unchanged(key: String, modified: Revision) -> Comparison {
    if modified == 0 {
        return Comparison::Absent(key);
    }
    Comparison::ModifiedAt(key, modified)
}

fn put(
    key: String,
    modified: Revision,
    value: &impl serde::Serialize,
) -> anyhow::Result<WriteBatch> {
    let value = Bytes::from(serde_json::to_vec(value)?);
    Ok(WriteBatch {
        when: vec![unchanged(key.clone(), modified)],
        then: vec![Write::Put {
            key,
            value,
            lease: None,
        }],
        read_back: Vec::new(),
    })
}
