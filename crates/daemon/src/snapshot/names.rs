//! Numeric ids for names that stay the same for the lifetime of the process.

/// Assigns each name a small number that never changes.
///
/// Tables on the request path are indexed by these numbers. If the numbers
/// shifted when another customer is removed, one customer's requests would be
/// charged to another customer's rate.
#[derive(Clone, Debug, Default)]
pub struct NameInterner {
    names: Vec<String>,
    sorted: Vec<u32>,
}

impl NameInterner {
    /// Returns the number of a name and assigns one if the name is new.
    pub fn id(&mut self, name: &str) -> u32 {
        let found = self
            .sorted
            .binary_search_by(|&it| self.names[it as usize].as_str().cmp(name));
        match found {
            Ok(position) => self.sorted[position],
            Err(position) => {
                let id = self.names.len() as u32;
                self.names.push(name.to_owned());
                self.sorted.insert(position, id);
                id
            }
        }
    }

    /// Returns the name with this number.
    pub fn name(&self, id: u32) -> Option<&str> {
        self.names.get(id as usize).map(String::as_str)
    }
}
