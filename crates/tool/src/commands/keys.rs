//! The `keys` commands: list, issue, withdraw.

use comfreyramp_settings::KeySettings;
use rand::TryRngCore;
use serde_json::json;
use sha2::{Digest, Sha256};

use super::{CommandContext, customers::find_customer, print_json};
use crate::{
    arguments::{IssueKey, KeysAction},
    failure::ToolFailure,
    output::print_line,
    table::print_table,
};

/// The number of random bytes in a key; 32 bytes can't be guessed.
const KEY_BYTES: usize = 32;
/// The common prefix of all keys, which makes leaked keys searchable.
const KEY_PREFIX: &str = "cfr-";

pub(super) async fn run(context: &CommandContext, action: KeysAction) -> Result<(), ToolFailure> {
    match action {
        KeysAction::Issue(it) => issue(context, it).await,
        KeysAction::List(it) => list(context, it.team.as_deref()).await,
        KeysAction::Withdraw(it) => {
            let revision = context
                .client
                .change(&it.team, |team| {
                    let customer = find_customer(team, &it.customer)?;
                    let before = customer.keys.len();
                    customer.keys.retain(|key| key.name != it.name);
                    if customer.keys.len() == before {
                        let text = format!("{} has no key {}", it.customer, it.name);
                        return Err(ToolFailure::Refused(text));
                    }
                    Ok(())
                })
                .await?;
            context.client.confirm(revision).await
        }
    }
}

async fn issue(context: &CommandContext, issue: IssueKey) -> Result<(), ToolFailure> {
    let key = new_key()?;
    let sha256 = hex::encode(Sha256::digest(key.as_bytes()));
    let mut name = String::new();
    let revision = context
        .client
        .change(&issue.team, |team| {
            let customer = find_customer(team, &issue.customer)?;
            name = issue
                .name
                .clone()
                .unwrap_or_else(|| unused_name(&customer.keys));
            if customer.keys.iter().any(|it| it.name == name) {
                let text = format!("{} already has a key {name}", issue.customer);
                return Err(ToolFailure::Refused(text));
            }
            customer.keys.push(KeySettings {
                name: name.clone(),
                sha256: sha256.clone(),
            });
            Ok(())
        })
        .await?;
    // Printed before the daemons confirm the change: the key is already stored
    // as a hash, so it couldn't be printed later if the confirmation failed.
    if context.json {
        print_json(&json!({ "name": name, "key": key, "revision": revision }));
    } else {
        print_line(&key);
        eprintln!(
            "this is key {name} of {}; it is not shown again",
            issue.customer
        );
    }
    context.client.confirm(revision).await
}

fn new_key() -> Result<String, ToolFailure> {
    let mut bytes = [0; KEY_BYTES];
    rand::rngs::OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|it| ToolFailure::Refused(format!("no random numbers: {it}")))?;
    Ok(format!("{KEY_PREFIX}{}", hex::encode(bytes)))
}

fn unused_name(keys: &[KeySettings]) -> String {
    let mut number = keys.len() + 1;
    loop {
        let name = format!("key-{number}");
        if !keys.iter().any(|it| it.name == name) {
            return name;
        }
        number += 1;
    }
}

async fn list(context: &CommandContext, only: Option<&str>) -> Result<(), ToolFailure> {
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for entry in context.client.teams().await? {
        if only.is_some_and(|it| it != entry.team) {
            continue;
        }
        for customer in context.client.team(&entry.team).await?.settings.customers {
            for key in customer.keys {
                values.push(json!({
                    "team": entry.team,
                    "customer": customer.name,
                    "name": key.name,
                    "sha256": key.sha256,
                }));
                let hash = key.sha256.chars().take(12).collect();
                rows.push(vec![
                    entry.team.clone(),
                    customer.name.clone(),
                    key.name,
                    hash,
                ]);
            }
        }
    }
    if context.json {
        print_json(&json!(values));
    } else {
        print_table(&["TEAM", "CUSTOMER", "KEY", "HASH"], &rows);
    }
    Ok(())
}
