//! The `services` commands: list, add, remove.

use comfreyramp_settings::{ServiceKind, ServiceSettings};
use serde_json::json;

use super::{CommandContext, print_json};
use crate::{
    arguments::{AddService, ServicesAction},
    failure::ToolFailure,
    table::print_table,
};

pub(super) async fn run(
    context: &CommandContext,
    action: ServicesAction,
) -> Result<(), ToolFailure> {
    let client = &context.client;
    let revision = match action {
        ServicesAction::List(it) => return list(context, it.team.as_deref()).await,
        ServicesAction::Add(it) => {
            let team = it.team.clone();
            let service = build_service(it)?;
            client
                .change(&team, |team| {
                    if team.services.iter().any(|it| it.name == service.name) {
                        let text = format!("the team already has a service {}", service.name);
                        return Err(ToolFailure::Refused(text));
                    }
                    team.services.push(service.clone());
                    Ok(())
                })
                .await?
        }
        ServicesAction::Remove(it) => {
            client
                .change(&it.team, |team| {
                    let before = team.services.len();
                    team.services.retain(|service| service.name != it.name);
                    if team.services.len() == before {
                        let text = format!("the team has no service {}", it.name);
                        return Err(ToolFailure::Refused(text));
                    }
                    Ok(())
                })
                .await?
        }
    };
    client.confirm(revision).await
}

fn build_service(add: AddService) -> Result<ServiceSettings, ToolFailure> {
    let kind = match (add.prefix, add.model.is_empty()) {
        (Some(prefix), true) => ServiceKind::Plain { prefix },
        (None, false) => ServiceKind::Engine { models: add.model },
        _ => {
            let text = "give either --model (once or more) or --prefix";
            return Err(ToolFailure::Refused(text.to_owned()));
        }
    };
    Ok(ServiceSettings {
        name: add.name,
        kind,
        group: add.group,
        timeout_ms: add.timeout_ms,
        checks_fencing: add.checks_fencing,
    })
}

async fn list(context: &CommandContext, only: Option<&str>) -> Result<(), ToolFailure> {
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for entry in context.client.teams().await? {
        if only.is_some_and(|it| it != entry.team) {
            continue;
        }
        for service in context.client.team(&entry.team).await?.settings.services {
            let serves = match &service.kind {
                ServiceKind::Engine { models } => models.join(", "),
                ServiceKind::Plain { prefix } => prefix.clone(),
            };
            rows.push(vec![
                entry.team.clone(),
                service.name.clone(),
                serves,
                service.group.clone(),
                service.timeout_ms.to_string(),
            ]);
            values.push(json!({ "team": entry.team, "service": service }));
        }
    }
    if context.json {
        print_json(&json!(values));
    } else {
        print_table(&["TEAM", "SERVICE", "SERVES", "GROUP", "TIMEOUT/MS"], &rows);
    }
    Ok(())
}
