//! Encodes and decodes suspects and blocked fingerprints.

use std::time::Duration;

use capnp::struct_list;
use comfreyramp_policy::{
    DeathFact, DeathId, Fingerprint, Incarnation, NoticeAck, ServerKey, SuspectFact, SuspectNotice,
    SuspectStage,
};

use crate::generated::peers_capnp::{death_fact, fingerprint, notice_ack, suspect_fact};

use super::micros;

pub(crate) fn write_facts(
    mut list: struct_list::Builder<'_, suspect_fact::Owned>,
    facts: &[SuspectFact],
) {
    for (index, fact) in facts.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        write_fingerprint(builder.reborrow().init_fingerprint(), fact.fingerprint);
        builder.set_stage(match fact.stage {
            SuspectStage::Suspected => suspect_fact::Stage::Suspected,
            SuspectStage::Blocked => suspect_fact::Stage::Blocked,
            SuspectStage::Cleared => suspect_fact::Stage::Cleared,
        });
        builder.set_lifetime_micros(micros(fact.lifetime));
        let mut deaths = builder.init_deaths(fact.deaths.len() as u32);
        for (index, death) in fact.deaths.iter().enumerate() {
            write_death(deaths.reborrow().get(index as u32), death);
        }
    }
}

pub(crate) fn read_notice(
    list: struct_list::Reader<'_, suspect_fact::Owned>,
) -> Result<SuspectNotice, capnp::Error> {
    let facts = read_facts(list)?;
    Ok(SuspectNotice { facts })
}

pub(crate) fn write_ack(mut builder: notice_ack::Builder<'_>, ack: &NoticeAck) {
    let noted = builder.reborrow().init_noted(ack.noted.len() as u32);
    write_fingerprints(noted, &ack.noted);
    let running = builder.reborrow().init_running(ack.running.len() as u32);
    write_fingerprints(running, &ack.running);
    write_facts(builder.init_facts(ack.facts.len() as u32), &ack.facts);
}

pub(crate) fn read_ack(reader: notice_ack::Reader<'_>) -> Result<NoticeAck, capnp::Error> {
    Ok(NoticeAck {
        noted: reader.get_noted()?.iter().map(read_fingerprint).collect(),
        running: reader.get_running()?.iter().map(read_fingerprint).collect(),
        facts: read_facts(reader.get_facts()?)?,
    })
}

fn read_facts(
    list: struct_list::Reader<'_, suspect_fact::Owned>,
) -> Result<Vec<SuspectFact>, capnp::Error> {
    let mut facts = Vec::new();
    for reader in list {
        facts.push(SuspectFact {
            fingerprint: read_fingerprint(reader.get_fingerprint()?),
            stage: match reader.get_stage()? {
                suspect_fact::Stage::Suspected => SuspectStage::Suspected,
                suspect_fact::Stage::Blocked => SuspectStage::Blocked,
                suspect_fact::Stage::Cleared => SuspectStage::Cleared,
            },
            deaths: reader.get_deaths()?.iter().map(read_death).collect(),
            lifetime: Duration::from_micros(reader.get_lifetime_micros()),
        });
    }
    Ok(facts)
}

fn write_death(mut builder: death_fact::Builder<'_>, death: &DeathFact) {
    builder.set_seen_by(death.id.seen_by.0);
    builder.set_number(death.id.number);
    builder.set_server(death.server.0);
    builder.set_age_micros(micros(death.age));
    builder.set_ran_micros(micros(death.ran));
}

fn read_death(reader: death_fact::Reader<'_>) -> DeathFact {
    DeathFact {
        id: DeathId {
            seen_by: Incarnation(reader.get_seen_by()),
            number: reader.get_number(),
        },
        server: ServerKey(reader.get_server()),
        age: Duration::from_micros(reader.get_age_micros()),
        ran: Duration::from_micros(reader.get_ran_micros()),
    }
}

fn write_fingerprints(
    mut list: struct_list::Builder<'_, fingerprint::Owned>,
    fingerprints: &[Fingerprint],
) {
    for (index, fingerprint) in fingerprints.iter().enumerate() {
        write_fingerprint(list.reborrow().get(index as u32), *fingerprint);
    }
}

fn write_fingerprint(mut builder: fingerprint::Builder<'_>, fingerprint: Fingerprint) {
    builder.set_high((fingerprint.0 >> 64) as u64);
    builder.set_low(fingerprint.0 as u64);
}

fn read_fingerprint(reader: fingerprint::Reader<'_>) -> Fingerprint {
    let high = u128::from(reader.get_high());
    Fingerprint(high << 64 | u128::from(reader.get_low()))
}
