//! The leases of the key-value service.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

use super::ModelError;

/// A lease, its time to live and when it expires.
#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    id: i64,
    ttl: Duration,
    expires_at: Timestamp,
}

/// All leases in force, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    records: Vec<LeaseRecord>,
    last_id: i64,
}

impl LeaseTable {
    /// Grants a lease under `id`, or under a new id if `id` is 0. Fails if the id is taken.
    pub fn grant(&mut self, id: i64, ttl: Duration, now: Timestamp) -> Result<i64, ModelError> {
        let id = if id == 0 { self.next_id() } else { id };
        let Err(index) = self.find(id) else {
            return Err(ModelError::LeaseExists);
        };
        let expires_at = now + ttl;
        self.records.insert(
            index,
            LeaseRecord {
                id,
                ttl,
                expires_at,
            },
        );
        Ok(id)
    }

    /// Renews a lease and returns its time to live, or `None` if it has been removed.
    pub fn renew(&mut self, id: i64, now: Timestamp) -> Option<Duration> {
        let index = self.find(id).ok()?;
        let record = &mut self.records[index];
        record.expires_at = now + record.ttl;
        Some(record.ttl)
    }

    /// Removes a lease. Fails if there is none under this id.
    pub fn revoke(&mut self, id: i64) -> Result<(), ModelError> {
        let index = self.find(id).map_err(|_| ModelError::LeaseNotFound)?;
        self.records.remove(index);
        Ok(())
    }

    /// Returns whether a lease is in force.
    pub fn contains(&self, id: i64) -> bool {
        self.find(id).is_ok()
    }

    /// Removes the leases that have expired by `now` and returns their ids.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<i64> {
        let expired = self.records.iter().filter(|it| it.expires_at <= now);
        let expired: Vec<i64> = expired.map(|it| it.id).collect();
        self.records.retain(|it| it.expires_at > now);
        expired
    }

    /// Returns when the next lease expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.records.iter().map(|it| it.expires_at).min()
    }

    fn next_id(&mut self) -> i64 {
        self.last_id += 1;
        while self.contains(self.last_id) {
            self.last_id += 1;
        }
        self.last_id
    }

    fn find(&self, id: i64) -> Result<usize, usize> {
        self.records.binary_search_by_key(&id, |it| it.id)
    }
}
