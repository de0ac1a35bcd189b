//! The instance list and its changes.

use damaskweir_core::prelude::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An instance of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone in which it runs.
    pub zone: AvailabilityZone,
    /// Network address.
    pub address: SocketAddr,
    /// Lifecycle state.
    pub state: InstanceState,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// A snapshot of the instance list, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceList {
    /// Revision of the list, which increases with each change.
    pub revision: u64,
    /// The instances by id.
    pub instances: BTreeMap<InstanceId, Instance>,
}

/// A difference between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An instance is new, or more than its state has changed.
    Added(Instance),
    /// The state of an instance changed.
    StateChanged(InstanceId, InstanceState),
    /// An instance is no longer listed.
    Removed(InstanceId),
}

/// Returns the changes from one list to another.
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
