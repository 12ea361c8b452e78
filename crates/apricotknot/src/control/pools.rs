//! Assignment of endpoints to pools.

use apricotknot_core::resources::EndpointSpec;
use apricotknot_core::types::PoolId;

/// Returns the pool of an endpoint: all endpoints of one service form one pool.
pub fn pool_of(spec: &EndpointSpec) -> PoolId {
    format!("{}/0", spec.service).into()
}
