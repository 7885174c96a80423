//! The services whose servers keep prompt parts, from the operators' settings.

use comfreyramp_policy::placement::PromptCacheSettings;

use crate::model::{FleetSettings, RouteKind};

/// Returns the services whose servers state a memory and that a route uses. Lots have no
/// target time to a first event, so they count only where no other route uses a service.
pub(super) fn prompt_caches(settings: &FleetSettings) -> Vec<PromptCacheSettings> {
    let caches = settings.services.iter().filter_map(|service| {
        let uses = |it: &&crate::model::RouteSettings| {
            let is_lot = matches!(it.kind, RouteKind::Lot(_));
            !is_lot && it.services.iter().any(|it| it.service == service.name)
        };
        let routes = settings.routes.iter().filter(uses);
        Some(PromptCacheSettings {
            service: service.name.clone(),
            memory_tokens: service.memory_tokens?,
            objective: routes.map(|it| it.objective).min()?,
        })
    });
    caches.collect()
}
