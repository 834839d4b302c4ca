//! A service and its classes.

use serde::{Deserialize, Serialize};

use crate::{Class, ClassName, ServiceName, Version};

/// A service as configured by its tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique over all tenants.
    pub name: ServiceName,
    /// Version that serves calls when the service is first published. Later changes of the version
    /// are moves.
    pub version: Version,
    /// Classes of work, at least one.
    pub classes: Vec<Class>,
}

impl Service {
    /// Returns the class called `name`.
    #[must_use]
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        self.classes.iter().find(|c| c.name == *name)
    }
}
