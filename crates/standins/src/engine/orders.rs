//! Orders to an engine, each with a fencing number that rejects outdated senders.

use serde::{Deserialize, Serialize};

/// An order to change what the engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model.
    LoadModel {
        /// The name of the model.
        model: String,
    },
    /// Load an adapter, which is then served as a separate model.
    LoadAdapter {
        /// The name of the adapter.
        adapter: String,
    },
    /// Load a version of a model, which is then served as `model@version`.
    LoadVersion {
        /// The name of the model.
        model: String,
        /// The name of the version.
        version: String,
    },
    /// Change the engine's role, such as `prefill`, `decode` or `both`.
    ChangeRole {
        /// The name of the role.
        role: String,
    },
}

/// The body of `POST /orders`: an order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FencedOrder {
    pub(crate) fence: u64,
    #[serde(flatten)]
    pub(crate) order: EngineOrder,
}

/// The error of an order whose fencing number is lower than one received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleFence {
    /// The highest fencing number received.
    pub highest: u64,
}

/// The orders that an engine has carried out, and the models and role that result.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    /// Whether orders with an outdated fencing number are carried out too.
    pub ignores_fencing: bool,
    /// The highest fencing number received.
    pub highest: u64,
    /// The names of the models served, sorted.
    pub models: Vec<String>,
    /// The role that was set last; empty at first.
    pub role: String,
    /// All orders carried out, with their fencing numbers.
    pub applied: Vec<(u64, EngineOrder)>,
}

impl OrderTracker {
    /// Carries out an order, unless its fencing number is outdated.
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

    /// Returns whether `model` is served.
    pub fn serves(&self, model: &str) -> bool {
        self.models
            .binary_search_by(|it| it.as_str().cmp(model))
            .is_ok()
    }

    /// Adds the name of a served model.
    pub fn add_model(&mut self, model: String) {
        if let Err(index) = self.models.binary_search(&model) {
            self.models.insert(index, model);
        }
    }
}
