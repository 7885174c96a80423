//! Orders that carry a fencing number.

use serde::{Deserialize, Serialize};

/// An order to change what the engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model.
    LoadModel {
        /// Its name.
        model: String,
    },
    /// Load an adapter, which is then served as a model of its own.
    LoadAdapter {
        /// Its name.
        adapter: String,
    },
    /// Load a version of a model.
    LoadVersion {
        /// The model's name.
        model: String,
        /// The version's name.
        version: String,
    },
    /// Change the engine's role, such as `prefill`, `decode` or `both`.
    ChangeRole {
        /// The role's name.
        role: String,
    },
}

/// An order with its fencing number, as posted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FencedOrder {
    pub(crate) fence: u64,
    #[serde(flatten)]
    pub(crate) order: EngineOrder,
}

/// An order came with an older fencing number than one already seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleFence {
    /// The highest number seen.
    pub highest: u64,
}

/// The orders an engine has carried out, and what it serves by them.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    /// Whether an order with an old number is carried out all the same.
    pub ignores_fencing: bool,
    /// The highest number seen.
    pub highest: u64,
    /// Names served as models, sorted.
    pub models: Vec<String>,
    /// The role given last.
    pub role: String,
    /// Every order carried out, with its number.
    pub applied: Vec<(u64, EngineOrder)>,
}

impl OrderTracker {
    /// Carries out an order, unless its number is too old.
    pub fn apply(&mut self, fence: u64, order: EngineOrder) -> Result<(), StaleFence> {
        if fence < self.highest && !self.ignores_fencing {
            return Err(StaleFence {
                highest: self.highest,
            });
        }
        self.highest = self.highest.max(fence);
        match &order {
            EngineOrder::LoadModel { model } => self.add_model(model.clone()),
            EngineOrder::LoadAdapter { adapter } => self.add_model(adapter.clone()),
            EngineOrder::LoadVersion { model, version } => {
                self.add_model(format!("{model}@{version}"));
            }
            EngineOrder::ChangeRole { role } => self.role.clone_from(role),
        }
        self.applied.push((fence, order));
        Ok(())
    }

    /// Whether a request for `model` can be answered.
    pub fn serves(&self, model: &str) -> bool {
        self.models
            .binary_search_by(|it| it.as_str().cmp(model))
            .is_ok()
    }

    /// Adds a name served as a model.
    pub fn add_model(&mut self, model: String) {
        if let Err(index) = self.models.binary_search(&model) {
            self.models.insert(index, model);
        }
    }
}
