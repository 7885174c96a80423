//! The bytes that are held for each customer.

/// The bytes that are held for one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CustomerBytes {
    /// The hash of the customer's name.
    pub(super) customer: u64,
    /// The holders, including those without bytes.
    pub(super) holders: u64,
    /// All bytes.
    pub(super) held: u64,
    /// The bytes of request bodies.
    pub(super) bodies: u64,
    /// The bytes of readers that are being ended.
    pub(super) ending: u64,
}

/// The bytes that are held for each customer that has a holder.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerTable {
    /// Sorted by customer.
    customers: Vec<CustomerBytes>,
}

impl CustomerTable {
    /// Returns the number of customers that have a holder.
    pub(super) fn len(&self) -> u64 {
        self.customers.len() as u64
    }

    /// Returns the bytes of a customer.
    pub(super) fn get(&self, customer: u64) -> CustomerBytes {
        let index = self
            .customers
            .binary_search_by_key(&customer, |it| it.customer);
        index.map_or_else(
            |_| CustomerBytes {
                customer,
                ..CustomerBytes::default()
            },
            |index| self.customers[index],
        )
    }

    /// Changes the bytes of a customer, which is removed once it has no holder.
    pub(super) fn change(&mut self, customer: u64, change: impl FnOnce(&mut CustomerBytes)) {
        let index = self
            .customers
            .binary_search_by_key(&customer, |it| it.customer);
        let index = index.unwrap_or_else(|index| {
            let added = CustomerBytes {
                customer,
                ..CustomerBytes::default()
            };
            self.customers.insert(index, added);
            index
        });
        change(&mut self.customers[index]);
        if self.customers[index].holders == 0 {
            self.customers.remove(index);
        }
    }

    /// Returns the customers that will have more than `share` bytes once their ending
    /// readers are gone and `asked` bytes are added for the customer `asking`. The one with
    /// the most bytes is first.
    pub(super) fn above_share(&self, share: u64, asking: u64, asked: u64) -> Vec<u64> {
        let remaining = |it: &CustomerBytes| {
            let added = if it.customer == asking { asked } else { 0 };
            it.held - it.ending + added
        };
        let all = self.customers.iter();
        let mut above: Vec<(u64, u64)> = all
            .map(|it| (remaining(it), it.customer))
            .filter(|it| it.0 > share)
            .collect();
        above.sort_unstable_by(|left, right| right.cmp(left));
        above.into_iter().map(|it| it.1).collect()
    }
}
