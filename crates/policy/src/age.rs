//! How long ago a caller first sent a request that it now sends again, as far as its timeout tells.
//!
//! A caller that retries waits only for what is left of its first timeout. First attempts of a
//! route's callers have one timeout, or a few; so a timeout below one of those tells how old a
//! request is. An old request can no longer be answered within its latency objective, and others
//! that still can are served before it.

/// Timeouts that differ by less than this are taken as the same, in microseconds: they are stated
/// in whole milliseconds, and connecting takes some of them.
const BUCKET_US: u64 = 20_000;
/// A timeout is that of first attempts if at least one request in so many has it.
const COMMON_SHARE: u32 = 12;
/// Fewer requests than this with a timeout say nothing.
const MIN_COUNT: u32 = 3;
/// Counts are halved after so many requests, so that they follow a change of the callers.
const HALVING: u32 = 400;
/// Timeouts that are counted. The rarest is dropped for a new one.
const MAX_COUNTED: usize = 48;

/// The timeouts of one route's requests.
#[derive(Clone, Debug, Default)]
pub struct CallerTimeouts {
    /// Buckets of [`BUCKET_US`] with their counts, sorted by bucket.
    counts: Vec<(u64, u32)>,
    total: u32,
}

impl CallerTimeouts {
    /// Records the timeout of a request, and returns how long before it the caller sent its first
    /// attempt, in microseconds; 0 if this seems to be the first one.
    pub fn age_us(&mut self, timeout_us: u64) -> u64 {
        let bucket = timeout_us / BUCKET_US;
        self.count(bucket);
        let common = |count: u32| count >= MIN_COUNT && count * COMMON_SHARE >= self.total;
        // The neighbours count too, since a common timeout may lie on a bucket's border.
        let near = |other: u64| other.abs_diff(bucket) <= 1;
        if self.counts.iter().any(|(other, count)| near(*other) && common(*count)) {
            return 0;
        }
        let first = self.counts.iter().find(|(other, count)| *other > bucket && common(*count));
        first.map_or(0, |(other, _)| (other * BUCKET_US).saturating_sub(timeout_us))
    }

    fn count(&mut self, bucket: u64) {
        self.total += 1;
        match self.counts.binary_search_by_key(&bucket, |(other, _)| *other) {
            Ok(at) => self.counts[at].1 += 1,
            Err(at) => {
                self.counts.insert(at, (bucket, 1));
                if self.counts.len() > MAX_COUNTED {
                    let rarest = (0..self.counts.len()).filter(|other| *other != at);
                    let rarest = rarest.min_by_key(|other| self.counts[*other].1);
                    rarest.map(|rarest| self.counts.remove(rarest));
                }
            }
        }
        if self.total >= HALVING {
            self.counts.iter_mut().for_each(|(_, count)| *count /= 2);
            self.counts.retain(|(_, count)| *count > 0);
            self.total /= 2;
        }
    }
}
