// Package quota decides how much each pool may have running for a team whose cap covers
// all pools together. The pools' owners share one account for each team; each owner
// decides by the account as it last read it, and changes it only under the revision that
// it read. Values are plain and time is passed in.
package quota
