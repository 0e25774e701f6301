//! [`ListSizes`].

use std::collections::VecDeque;

use tokio::time::Instant;

/// Sizes of VM lists and when each was last in use. A size is dropped once an equal or greater one is
/// recorded.
#[derive(Default)]
pub(crate) struct ListSizes {
    sizes: VecDeque<(usize, Instant)>,
}

impl ListSizes {
    /// Records a size that was in use until now.
    pub(crate) fn record(&mut self, size: usize) {
        while self
            .sizes
            .back()
            .is_some_and(|(smaller, _)| *smaller <= size)
        {
            self.sizes.pop_back();
        }
        self.sizes.push_back((size, Instant::now()));
    }

    /// Greatest size that was last in use at `since` or later; zero if there is none.
    pub(crate) fn max_since(&self, since: Instant) -> usize {
        let recent = self.sizes.iter().find(|(_, last_used)| *last_used >= since);
        recent.map_or(0, |(size, _)| *size)
    }

    /// Drops sizes that were last in use before `until`.
    pub(crate) fn expire_before(&mut self, until: Instant) {
        while self.sizes.front().is_some_and(|(_, at)| *at < until) {
            self.sizes.pop_front();
        }
    }
}
