//! Ids that are held against submissions.

use crate::gateway::Gateway;
use primroseroute_cell::row::{
    self, Claim,
    tombstone::{Marker, Tombstone},
};
use primroseroute_domain::work::{JobId, Name};
use primroseroute_platform::{
    Error,
    rows::{Commit, Txn, Version},
};

impl Gateway {
    /// Stores a tombstone in place of the claim of version `replaced`, which is 0 for none. Its marker
    /// is stored in the table of `pool`, which is that of the claim. Returns its version, or `None` if
    /// the claim has changed in between.
    pub(crate) async fn hold(
        &self,
        id: &JobId,
        pool: &Name,
        tombstone: &Tombstone,
        replaced: Version,
    ) -> Result<Option<Version>, Error> {
        let claim = Claim::held(pool, tombstone);
        let marker = Marker {
            pool: Name::clone(pool),
            at_ms: self.components.clock.now().0,
        };
        let claim = serde_json::to_vec(&claim).expect("a claim has plain fields");
        let marker = serde_json::to_vec(&marker).expect("a marker has plain fields");
        let txn = Txn {
            conditions: vec![(row::claim(id), replaced)],
            puts: vec![
                (row::claim(id), claim.into()),
                (row::tombstone::marker(pool, id), marker.into()),
            ],
            deletes: Vec::new(),
        };
        match self.components.rows.commit(txn).await? {
            Commit::Committed(version) => Ok(Some(version)),
            Commit::Conflict(_) => Ok(None),
        }
    }
}
