//! The list.

use damaskweir_core::prelude::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An instance of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is about to go.
    pub state: InstanceState,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// The list as it was some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceList {
    /// Increases with each change.
    pub revision: u64,
    /// The instances.
    pub instances: BTreeMap<InstanceId, Instance>,
}

/// Difference of two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An instance is new, or differs in more than its state.
    Added(Instance),
    /// The state of an instance changed.
    StateChanged(InstanceId, InstanceState),
    /// An instance is no longer listed.
    Removed(InstanceId),
}

/// What changed from one list to another.
pub fn diff(old: &InstanceList, new: &InstanceList) -> Vec<Change> {
    let mut changes = Vec::new();
    for (id, instance) in &new.instances {
        match old.instances.get(id) {
            Some(known) if known == instance => {}
            Some(known) if *known == (Instance { state: known.state, ..instance.clone() }) => {
                changes.push(Change::StateChanged(id.clone(), instance.state));
            }
            _ => changes.push(Change::Added(instance.clone())),
        }
    }
    let removed = old.instances.keys().filter(|id| !new.instances.contains_key(*id));
    changes.extend(removed.cloned().map(Change::Removed));
    changes
}
