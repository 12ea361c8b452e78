//! Client of the platform's key-value service, and feed of the resources that the service stores.

mod budget;
mod budgeted_store;
mod etcd;
mod etcd_messages;
mod feed;
mod key_value;
mod watch;

pub use apricotknot_gateway::store::ExpectedRevision;
pub use apricotknot_gateway::store::KeyRange;
pub use apricotknot_gateway::store::LeaseId;
pub use apricotknot_gateway::store::StoreEntry;
pub use apricotknot_gateway::store::StoreError;
pub use apricotknot_gateway::store::StoreErrorKind;
pub use apricotknot_gateway::store::SwapOutcome;
pub use apricotknot_gateway::store::SwapRequest;
pub use apricotknot_gateway::store::WatchBatch;
pub use apricotknot_gateway::store::WatchEvent;
pub use apricotknot_gateway::store::WriteCertainty;

pub use budget::CallBudget;
pub use budgeted_store::BudgetedStore;
pub use budgeted_store::CallLimits;
pub use etcd::EtcdStore;
pub use feed::FeedEvent;
pub use feed::FeedTiming;
pub use feed::RESOURCE_PREFIX;
pub use feed::ResourceFeed;
pub use feed::resource_key;
pub use key_value::KeyValueStore;
pub use watch::EtcdWatch;
