//! [`Platform`].

use std::time::Duration;

use oleanderpost_types::{DataCentre, Incarnation, Revision, Vm, VmId, VmList, VmRole, VmState};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::vm_name;

/// A revision of the platform's VM list and when it was published.
pub(crate) struct Published {
    pub(crate) list: VmList,
    published_at: Instant,
}

/// All revisions of the platform's VM list.
pub(crate) struct Platform {
    pub(crate) lists: Vec<Published>,
    /// Maximum time until a revision is visible to a node.
    pub(crate) lag: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            lists: vec![Published {
                list: VmList::default(),
                published_at: Instant::now(),
            }],
            lag: Duration::from_secs(5),
        }
    }
}

impl Platform {
    fn publish(&mut self, change: impl FnOnce(&mut VmList)) {
        let mut list = self.lists.last().unwrap().list.clone();
        change(&mut list);
        list.revision = Revision::new(list.revision.get() + 1);
        let published_at = Instant::now();
        self.lists.push(Published { list, published_at });
    }

    /// Publishes the first list.
    pub(crate) fn publish_first(&mut self, nodes: usize) {
        self.lists.clear();
        self.lists.push(Published {
            list: VmList {
                revision: Revision::new(1),
                vms: (0..nodes).map(entry_vm).collect(),
            },
            published_at: Instant::now(),
        });
    }

    /// Adds an entry VM to the list.
    pub(crate) fn add(&mut self, number: usize) {
        self.publish(|list| list.vms.push(entry_vm(number)));
    }

    /// Removes a VM from the list.
    pub(crate) fn remove(&mut self, number: usize) {
        self.publish(|list| list.vms.retain(|vm| vm.id != vm_name(number)));
    }

    pub(crate) fn is_listed(&self, number: usize) -> bool {
        let list = &self.lists.last().unwrap().list;
        list.vms.iter().any(|vm| vm.id == vm_name(number))
    }

    /// Whether the list with this index is already visible to `vm`.
    pub(crate) fn is_visible_to(&self, vm: &VmId, index: usize) -> bool {
        let Some(published) = self.lists.get(index) else {
            return false;
        };
        let hash = xxh3_64_with_seed(vm.as_str().as_bytes(), u64::try_from(index).unwrap());
        let lag = self
            .lag
            .mul_f64(f64::from(u16::try_from(hash & 0xff).unwrap()) / 256.0);
        published.published_at + lag <= Instant::now()
    }
}

fn entry_vm(number: usize) -> Vm {
    Vm {
        id: vm_name(number),
        role: VmRole::Entry,
        state: VmState::Live,
        data_centre: DataCentre::new(&format!("dc-{}", number % 3)).unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation::new(1),
    }
}
