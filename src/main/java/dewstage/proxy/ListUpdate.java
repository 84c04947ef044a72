package dewstage.proxy;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import java.util.AbstractList;
import java.util.List;

/** One change of the member list. After the first list it holds only the entries that differ. */
record ListUpdate(ListKind kind, long version, List<ListedBackend> entries) {
    /** The members for the decision module, as a view because a list may be long. */
    List<Member> members() {
        return new AbstractList<>() {
            @Override
            public Member get(int i) {
                return entries.get(i).member();
            }

            @Override
            public int size() {
                return entries.size();
            }
        };
    }
}
