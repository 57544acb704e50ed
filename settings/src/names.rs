//! Names of classes, tenants, zones and machine kinds.

/// Names of the items that the router identifies by index; each name's position is the index.
#[derive(Clone, Debug, Default)]
pub struct DeploymentNames {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

impl DeploymentNames {
    /// Hash of all names, which distinguishes this deployment from others.
    ///
    /// Lists and names are prefixed with their lengths, so different deployments hash different bytes.
    pub fn fingerprint(&self) -> u64 {
        let length = |n: usize| (n as u64).to_le_bytes();
        let mut bytes = Vec::new();
        for list in [&self.classes, &self.tenants, &self.zones, &self.kinds] {
            bytes.extend(length(list.len()));
            for name in list {
                bytes.extend(length(name.len()));
                bytes.extend(name.as_bytes());
            }
        }
        notchdoor::key_hash(&bytes)
    }
}

/// Index of `name` in `names`.
pub fn index_of(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|n| n == name).map(|i| i as u32)
}
