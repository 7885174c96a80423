//! The `customers` commands: list, add, set, remove.

use comfreyramp_settings::{CustomerSettings, CutOffPolicy, TeamSettings};
use serde_json::json;

use super::{CommandContext, print_json};
use crate::{arguments::CustomersAction, failure::ToolFailure, table::print_table};

pub(super) async fn run(
    context: &CommandContext,
    action: CustomersAction,
) -> Result<(), ToolFailure> {
    let client = &context.client;
    let revision = match action {
        CustomersAction::List(it) => return list(context, it.team.as_deref()).await,
        CustomersAction::Add(it) => {
            let customer = CustomerSettings {
                name: it.name,
                rate: it.rate,
                burst: it.burst,
                weight: it.weight,
                keys: Vec::new(),
                when_cut: CutOffPolicy::default(),
                lots_may_delay_live: false,
            };
            client
                .change(&it.team, |team| {
                    if team.customers.iter().any(|it| it.name == customer.name) {
                        let text = format!("the team already has a customer {}", customer.name);
                        return Err(ToolFailure::Refused(text));
                    }
                    team.customers.push(customer.clone());
                    Ok(())
                })
                .await?
        }
        CustomersAction::Set(it) => {
            client
                .change(&it.team, |team| {
                    let customer = find_customer(team, &it.name)?;
                    customer.rate = it.rate.unwrap_or(customer.rate);
                    customer.burst = it.burst.unwrap_or(customer.burst);
                    customer.weight = it.weight.unwrap_or(customer.weight);
                    Ok(())
                })
                .await?
        }
        CustomersAction::Remove(it) => {
            client
                .change(&it.team, |team| {
                    find_customer(team, &it.name)?;
                    team.customers.retain(|customer| customer.name != it.name);
                    Ok(())
                })
                .await?
        }
    };
    client.confirm(revision).await
}

/// Returns a team's customer by name.
pub(super) fn find_customer<'a>(
    team: &'a mut TeamSettings,
    name: &str,
) -> Result<&'a mut CustomerSettings, ToolFailure> {
    let found = team.customers.iter_mut().find(|it| it.name == name);
    found.ok_or_else(|| ToolFailure::Refused(format!("the team has no customer {name}")))
}

async fn list(context: &CommandContext, only: Option<&str>) -> Result<(), ToolFailure> {
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for entry in context.client.teams().await? {
        if only.is_some_and(|it| it != entry.team) {
            continue;
        }
        for customer in context.client.team(&entry.team).await?.settings.customers {
            rows.push(vec![
                entry.team.clone(),
                customer.name.clone(),
                customer.rate.to_string(),
                customer.burst.to_string(),
                customer.weight.to_string(),
                customer.keys.len().to_string(),
            ]);
            values.push(json!({ "team": entry.team, "customer": customer }));
        }
    }
    if context.json {
        print_json(&json!(values));
    } else {
        print_table(
            &["TEAM", "CUSTOMER", "RATE/S", "BURST", "WEIGHT", "KEYS"],
            &rows,
        );
    }
    Ok(())
}
